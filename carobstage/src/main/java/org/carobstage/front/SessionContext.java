package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.carobstage.model.ServiceName;
import org.carobstage.route.RouteTable;
import org.carobstage.runtime.Clock;
import org.carobstage.upstream.ServiceGroup;

/**
 * What all sessions of a process share.
 *
 * @param clock the runtime's clock
 * @param routes the routes in force
 * @param groups finds the instances of a service
 * @param log the log of decisions on requests
 * @param metrics counts outcomes
 */
record SessionContext(
        Clock clock,
        Supplier<RouteTable> routeTable,
        Function<ServiceName, Optional<ServiceGroup>> groupLookup,
        RequestEventLog requestLog,
        ProxyMetrics metrics) {
    SessionContext {
        requireNonNull(clock, "clock is null");
        requireNonNull(routeTable, "routes is null");
        requireNonNull(groupLookup, "groups is null");
        requireNonNull(requestLog, "log is null");
        requireNonNull(metrics, "metrics is null");
    }
}
