package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.carobstage.model.ServiceName;
import org.carobstage.quota.OperationLimiter;
import org.carobstage.route.RouteTable;
import org.carobstage.runtime.Clock;
import org.carobstage.upstream.ServiceGroup;

/**
 * Components shared by all sessions of a process.
 *
 * @param clock the clock of the event loop
 * @param routeTable returns the current route table
 * @param groupLookup finds the instances of a service
 * @param operationLimiter decides whether an operation of a client account may run
 * @param gate decides whether a statement may start
 * @param requestLog the log of request events
 * @param metrics the statement metrics
 */
record SessionContext(
        Clock clock,
        Supplier<RouteTable> routeTable,
        Function<ServiceName, Optional<ServiceGroup>> groupLookup,
        OperationLimiter operationLimiter,
        StatementGate gate,
        RequestEventLog requestLog,
        ProxyMetrics metrics) {
    SessionContext {
        requireNonNull(clock, "clock is null");
        requireNonNull(routeTable, "routeTable is null");
        requireNonNull(groupLookup, "groupLookup is null");
        requireNonNull(operationLimiter, "operationLimiter is null");
        requireNonNull(gate, "gate is null");
        requireNonNull(requestLog, "requestLog is null");
        requireNonNull(metrics, "metrics is null");
    }
}
