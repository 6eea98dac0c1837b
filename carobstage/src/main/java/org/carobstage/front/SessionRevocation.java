package org.carobstage.front;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.carobstage.model.AccountName;
import org.carobstage.route.RouteTable;

/** Ends the sessions whose keys a newer configuration has removed or moved to another account. */
final class SessionRevocation {
    /** Accounts named in the log line; the others are counted. */
    private static final int MAX_NAMED_ACCOUNTS = 10;

    private SessionRevocation() {}

    /**
     * Ends the sessions that a configuration no longer allows.
     *
     * @param sessions the sessions of the process
     * @param table the route table that was applied
     * @return the text of the log line, or empty if no session has ended
     */
    static Optional<String> apply(Collection<ClientSession> sessions, RouteTable table) {
        List<ClientSession> revoked =
                List.copyOf(sessions).stream().filter(s -> s.isRevokedBy(table)).toList();
        revoked.forEach(ClientSession::revoke);
        return revoked.isEmpty() ? Optional.empty() : Optional.of(describe(revoked, table));
    }

    private static String describe(List<ClientSession> revoked, RouteTable table) {
        TreeSet<AccountName> accounts =
                revoked.stream()
                        .flatMap(s -> s.account().stream())
                        .collect(Collectors.toCollection(TreeSet::new));
        String named =
                accounts.stream()
                        .limit(MAX_NAMED_ACCOUNTS)
                        .map(AccountName::value)
                        .collect(Collectors.joining(","));
        return "version="
                + table.version()
                + " sessions="
                + revoked.size()
                + " accounts="
                + accounts.size()
                + " names=["
                + named
                + "]";
    }
}
