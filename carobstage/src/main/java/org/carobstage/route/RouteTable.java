package org.carobstage.route;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.carobstage.account.AccountTable;
import org.carobstage.model.ServiceName;

/**
 * A version of the routes, of the connection limits of services and of the client accounts.
 *
 * @param version the version, which increases with each change
 * @param routes the routes by database
 * @param connectionLimits the maximum connections to an instance from all callers, by service
 * @param idleTransactionTimeout the idle timeout of transactions
 * @param accounts the client accounts, or empty if clients need no API keys
 */
public record RouteTable(
        long version,
        Map<String, Route> routes,
        Map<ServiceName, Integer> connectionLimits,
        Duration idleTransactionTimeout,
        Optional<AccountTable> accounts) {
    private static final RouteTable EMPTY =
            new RouteTable(-1, Map.of(), Map.of(), Duration.ofSeconds(3));

    /** Rejects null components and copies the collections. */
    public RouteTable {
        routes = Map.copyOf(routes);
        connectionLimits = Map.copyOf(connectionLimits);
        requireNonNull(idleTransactionTimeout, "idleTransactionTimeout is null");
        requireNonNull(accounts, "accounts is null");
    }

    /**
     * Creates a version without client accounts.
     *
     * @param version the version, which increases with each change
     * @param routes the routes by database
     * @param connectionLimits the maximum connections to an instance from all callers, by service
     * @param idleTransactionTimeout the idle timeout of transactions
     */
    public RouteTable(
            long version,
            Map<String, Route> routes,
            Map<ServiceName, Integer> connectionLimits,
            Duration idleTransactionTimeout) {
        this(version, routes, connectionLimits, idleTransactionTimeout, Optional.empty());
    }

    /**
     * Returns the table that is used until a version is loaded.
     *
     * @return a table without routes
     */
    public static RouteTable empty() {
        return EMPTY;
    }

    /**
     * Finds the route of a database.
     *
     * @param database the name that clients use
     * @return the route, or empty if there is none
     */
    public Optional<Route> route(String database) {
        return Optional.ofNullable(routes.get(database));
    }

    /**
     * Returns whether a service has a route or a connection limit.
     *
     * @param service the service
     * @return true if this version names the service
     */
    public boolean names(ServiceName service) {
        return connectionLimits.containsKey(service)
                || routes.values().stream().anyMatch(r -> r.service().equals(service));
    }

    /**
     * Returns the newer of two tables, so that the version never decreases.
     *
     * @param other the other table
     * @return the table with the higher version
     */
    public RouteTable newer(RouteTable other) {
        return other.version > version ? other : this;
    }

    /**
     * Returns whether a version has been loaded.
     *
     * @return false for the empty table
     */
    public boolean isLoaded() {
        return version >= 0;
    }
}
