package org.carobstage.front;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
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

    private static final Logger LOGGER = System.getLogger(SessionRevocation.class.getName());

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
        // One session that fails must not keep the others open under a revoked key.
        long failed = revoked.stream().filter(s -> !tryRevoke(s)).count();
        return revoked.isEmpty()
                ? Optional.empty()
                : Optional.of(describe(revoked, table) + (failed > 0 ? " failed=" + failed : ""));
    }

    private static boolean tryRevoke(ClientSession session) {
        try {
            session.revoke();
            return true;
        } catch (RuntimeException e) {
            LOGGER.log(Level.ERROR, "a session with a revoked key could not be ended", e);
            return false;
        }
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
