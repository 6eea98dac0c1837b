package org.carobstage.front;

import java.time.Duration;
import java.util.Optional;
import org.carobstage.account.ApiKey;
import org.carobstage.account.ClientAccount;
import org.carobstage.model.AccountName;
import org.carobstage.route.Route;
import org.carobstage.route.RouteTable;
import org.carobstage.sql.FailureCode;

/** Whether a client may use a database, and the account that it acts for. */
sealed interface SessionAccess {
    /** How long a new session waits for the route table to be loaded. */
    Duration ROUTE_TABLE_TIMEOUT = Duration.ofMillis(1_500);

    /** How long a new session waits for a missing route or key, which may be about to be added. */
    Duration NEW_ENTRY_TIMEOUT = Duration.ofMillis(300);

    /**
     * Decides on a session that is being opened.
     *
     * @param table the current route table
     * @param database the database that the client names
     * @param key the key that the client presents, possibly empty
     * @param waited how long the session has waited so far
     * @return the decision
     */
    static SessionAccess decide(RouteTable table, String database, ApiKey key, Duration waited) {
        if (!table.isLoaded()) {
            return waitOrRefuse(waited, ROUTE_TABLE_TIMEOUT, FailureCode.BUSY);
        }
        Optional<Route> route = table.route(database);
        if (route.isEmpty()) {
            return waitOrRefuse(waited, NEW_ENTRY_TIMEOUT, FailureCode.UNKNOWN_DATABASE);
        }
        Optional<AccountName> account = findAccount(table, key);
        boolean keyNeeded = table.accounts().isPresent() && !route.get().publicAccess();
        return account.isEmpty() && keyNeeded
                ? waitOrRefuse(waited, NEW_ENTRY_TIMEOUT, FailureCode.UNAUTHORIZED)
                : new Granted(account);
    }

    /**
     * Returns whether an open session may continue. The account of a session never changes.
     *
     * @param table the current route table
     * @param database the database of the session
     * @param key the key with which the session was opened
     * @param account the account of the session
     * @return false if the key does not hold the account, or if a key is needed now
     */
    static boolean isStillGranted(
            RouteTable table, String database, ApiKey key, Optional<AccountName> account) {
        if (account.isPresent()) {
            return findAccount(table, key).equals(account);
        }
        // Statements on a database without a route are rejected one by one.
        return table.accounts().isEmpty()
                || table.route(database).map(Route::publicAccess).orElse(true);
    }

    private static Optional<AccountName> findAccount(RouteTable table, ApiKey key) {
        // A client without a key must not match an account that lists an empty one.
        return table.accounts()
                .filter(accounts -> !key.value().isEmpty())
                .flatMap(accounts -> accounts.findByKey(key))
                .map(ClientAccount::name);
    }

    private static SessionAccess waitOrRefuse(Duration waited, Duration timeout, FailureCode code) {
        return waited.compareTo(timeout) < 0 ? new Undecided() : new Refused(code);
    }

    /**
     * The client may use the database.
     *
     * @param account the account that the client acts for, or empty if it acts for none
     */
    record Granted(Optional<AccountName> account) implements SessionAccess {}

    /**
     * The client may not use the database.
     *
     * @param code the reason
     */
    record Refused(FailureCode code) implements SessionAccess {}

    /** The missing entry may be about to be added. */
    record Undecided() implements SessionAccess {}
}
