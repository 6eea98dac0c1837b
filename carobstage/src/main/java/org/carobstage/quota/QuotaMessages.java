package org.carobstage.quota;

import java.util.Map;
import org.carobstage.model.AccountName;

/** Keeps messages within the frames of 64 KiB that processes accept from each other. */
final class QuotaMessages {
    /** No route or protocol needs longer names; a frame has room for sixteen of them. */
    private static final int LONGEST_NAME = 1_024;

    private static final int MOST_ACCOUNTS = 512;

    /** An encoded character takes up to three bytes, and counts and times take the rest. */
    private static final int MOST_CHARACTERS = 16 * LONGEST_NAME;

    private QuotaMessages() {}

    /** Returns whether a message has room for the name of an account. */
    static boolean isSendable(AccountName account) {
        return account.value().length() <= LONGEST_NAME;
    }

    /** Returns whether an account fits into a message with these accounts. */
    static boolean hasRoom(Map<AccountName, Integer> counts, int characters, AccountName next) {
        return counts.containsKey(next)
                || counts.size() < MOST_ACCOUNTS
                        && characters + next.value().length() <= MOST_CHARACTERS;
    }
}
