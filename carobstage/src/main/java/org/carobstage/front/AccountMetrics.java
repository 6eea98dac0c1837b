package org.carobstage.front;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.carobstage.model.AccountName;

/** Counts sessions and operations by account; exports a bounded number of labels. */
final class AccountMetrics {
    private static final int MAX_NAMED_ACCOUNTS = 10;
    private static final String OTHER = "other";

    private final Map<AccountName, Long> operations = new HashMap<>();
    private final Map<AccountName, Long> openSessions = new HashMap<>();

    private AccountMetrics() {}

    static AccountMetrics empty() {
        return new AccountMetrics();
    }

    void recordOperation(AccountName account) {
        operations.merge(account, 1L, Long::sum);
    }

    void recordOpened(AccountName account) {
        openSessions.merge(account, 1L, Long::sum);
    }

    void recordClosed(AccountName account) {
        openSessions.computeIfPresent(account, (name, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns the counters, with the accounts that have the most operations by name. */
    Map<String, Long> counters() {
        List<AccountName> busiest =
                operations.entrySet().stream()
                        .sorted(
                                Map.Entry.<AccountName, Long>comparingByValue(
                                                Comparator.reverseOrder())
                                        .thenComparing(Map.Entry.comparingByKey()))
                        .limit(MAX_NAMED_ACCOUNTS)
                        .map(Map.Entry::getKey)
                        .toList();
        Map<String, Long> counters = new TreeMap<>();
        export("account_operations_total", operations, busiest, counters);
        export("account_sessions", openSessions, busiest, counters);
        return counters;
    }

    private static void export(
            String metric,
            Map<AccountName, Long> counts,
            List<AccountName> named,
            Map<String, Long> counters) {
        counts.forEach(
                (account, count) -> {
                    String label = named.contains(account) ? account.value() : OTHER;
                    // Quotes would end the label.
                    counters.merge(
                            metric + "{account=\"" + label.replace('"', '_') + "\"}",
                            count,
                            Long::sum);
                });
    }
}
