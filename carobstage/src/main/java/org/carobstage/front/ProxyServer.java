package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.discovery.InstanceRegistry;
import org.carobstage.discovery.UnnamedInstances;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.failover.FailoverContext;
import org.carobstage.failover.FailoverCoordinator;
import org.carobstage.front.PlatformAdapter.DecodedEntry;
import org.carobstage.model.Address;
import org.carobstage.model.ServiceName;
import org.carobstage.quota.OperationLimiter;
import org.carobstage.quota.QuotaService;
import org.carobstage.quota.QuotaSettings;
import org.carobstage.route.RouteTable;
import org.carobstage.runtime.BuildInfo;
import org.carobstage.runtime.Clock;
import org.carobstage.runtime.FailureIsolation;
import org.carobstage.store.ObservedStore;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreWatcher;
import org.carobstage.upstream.ConnectionQuota;
import org.carobstage.upstream.ServiceGroup;
import org.carobstage.upstream.UpstreamContext;

/** The proxy server process. All its state is confined to the adapter's event loop. */
public final class ProxyServer implements AutoCloseable {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    /** A tick that is this late indicates that the process was paused. */
    private static final Duration PAUSE_THRESHOLD = Duration.ofMillis(600);

    private static final int MAX_RETAINED_EVENTS = 512;

    private final PlatformAdapter adapter;
    private final Clock clock;
    private final EventLog events;
    private final SessionContext context;
    private final UpstreamContext upstream;
    private final ClusterMembership membership;
    private final Optional<QuotaService> quota;
    private final FailoverCoordinator failoverCoordinator;
    private final ObservedStore store;
    private final StoreWatcher storeWatcher;
    private final InstanceRegistry instanceRegistry = InstanceRegistry.empty();
    private final UnnamedInstances unnamedInstances = UnnamedInstances.empty();
    private final Map<ServiceName, ServiceGroup> groups = new TreeMap<>();
    private final StatementGate gate;
    private final ClientSessions sessions;
    private final ProxyMetrics metrics = ProxyMetrics.empty();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final Duration shutdownTimeout;
    private final FailureIsolation isolation;
    private volatile Optional<Throwable> listenFailure = Optional.empty();
    private RouteTable routeTable = RouteTable.empty();
    private final ConnectionCountLog connectionCounts;
    private boolean storeListed;
    private boolean ready;
    private boolean stopping;
    private boolean acceptingClients = true;
    private boolean shutdownEnded;
    private long lastTickNanos;
    private long lastTickMillis;

    private ProxyServer(ProxyServerSettings settings, PlatformAdapter adapter) {
        this.adapter = adapter;
        this.clock = adapter.clock();
        this.store = ObservedStore.of(adapter.metadataStore(), clock);
        this.shutdownTimeout = settings.shutdownTimeout();
        this.events = EventLog.of(settings.vm(), clock, MAX_RETAINED_EVENTS);
        this.isolation = FailureIsolation.of(this::recordTaskFailure);
        this.quota = settings.quota().map(this::createQuotaService);
        this.gate = StatementGate.open(clock);
        this.context =
                new SessionContext(
                        clock,
                        () -> routeTable,
                        name -> Optional.ofNullable(groups.get(name)),
                        quota.<OperationLimiter>map(QuotaService::limiter)
                                .orElseGet(OperationLimiter::unlimited),
                        gate,
                        RequestEventLog.of(events, clock),
                        metrics);
        this.sessions = ClientSessions.of(context);
        this.connectionCounts = ConnectionCountLog.of(metrics, events, clock);
        this.upstream =
                new UpstreamContext(
                                clock,
                                adapter.instanceConnector(),
                                settings.failureDomain(),
                                events,
                                settings.fencingEnforced())
                        .withAdmission(settings.admissionOrder(), metrics::add);
        this.membership =
                new ClusterMembership(
                        settings.vm(),
                        settings.failureDomain(),
                        store,
                        clock,
                        events,
                        this::onMemberRestarted);
        this.failoverCoordinator =
                FailoverCoordinator.of(
                        new FailoverContext(
                                settings.vm(),
                                clock,
                                store,
                                adapter.promotionClient(),
                                events,
                                settings.fencingEnforced()));
        this.storeWatcher =
                StoreWatcher.of(
                        store,
                        clock,
                        events,
                        StoreWatcher.Listener.of(
                                this::onStoreChange, this::onStoreListed, this::onStoreReconnected),
                        failoverCoordinator::isFailoverInProgress);
    }

    /**
     * Starts the server.
     *
     * @param settings the settings
     * @param adapter the platform that the process runs on
     * @return the running server
     */
    public static ProxyServer launch(ProxyServerSettings settings, PlatformAdapter adapter) {
        requireNonNull(settings, "settings is null");
        ProxyServer server = new ProxyServer(settings, requireNonNull(adapter, "adapter is null"));
        adapter.execute(server::start);
        return server;
    }

    /**
     * Starts a graceful shutdown: readiness probes fail at once, then idle sessions are closed,
     * then idle transactions are rolled back.
     */
    public void stop() {
        adapter.execute(this::beginShutdown);
    }

    /** Logs that the settings file was read again. */
    public void recordSettingsReload() {
        adapter.execute(
                () ->
                        events.record(
                                EventCode.SETTINGS_RELOADED,
                                EventScope.empty(),
                                "settings are applied only when the process starts"));
    }

    /**
     * Waits until the shutdown is complete.
     *
     * @throws InterruptedException if the thread is interrupted
     * @throws CodedException if the server ended because it cannot listen for clients
     */
    public void awaitStop() throws InterruptedException {
        stopped.await();
        if (listenFailure.isPresent()) {
            throw CodedException.of(
                    ErrorCode.BAD_SETTINGS, "can't listen for clients", listenFailure.get());
        }
    }

    boolean isStopped() {
        return stopped.getCount() == 0;
    }

    @Override
    public void close() {
        storeWatcher.close();
        adapter.close();
    }

    private QuotaService createQuotaService(QuotaSettings quotaSettings) {
        return QuotaService.of(
                quotaSettings,
                events,
                store,
                clock,
                adapter.peerTransport(),
                () -> routeTable.accounts());
    }

    private void recordTaskFailure(String task, RuntimeException failure) {
        events.record(EventCode.TASK_FAILED, EventScope.empty(), task + " failed: " + failure);
    }

    private void start() {
        events.record(
                EventCode.PROCESS_STARTING, EventScope.empty(), BuildInfo.current().describe());
        lastTickNanos = clock.nanoTime();
        lastTickMillis = clock.instant().toEpochMilli();
        adapter.listenForClients(sessions).whenComplete(this::onListening);
        adapter.listenForProbes(
                () -> ready && !stopping, () -> PrometheusExporter.export(metrics, groups, quota));
        storeWatcher.start();
        membership.join();
        quota.ifPresent(QuotaService::start);
        clock.schedule(this::tick, TICK_INTERVAL);
    }

    /** Ends the process if clients could not reach it. */
    private void onListening(Address address, Throwable failure) {
        if (failure == null) {
            events.record(
                    EventCode.PROCESS_STARTED, EventScope.empty(), "client_address=" + address);
        } else {
            listenFailure = Optional.of(failure);
            endShutdown();
        }
    }

    private void onStoreChange(StoreEntry entry) {
        try {
            apply(entry);
        } catch (RuntimeException e) {
            // The text of the exception is not logged, since it may quote an API key of the entry.
            recordUnreadableEntry(entry.key(), "unexpected " + e.getClass().getName());
        }
    }

    private void apply(StoreEntry entry) {
        DecodedEntry decoded = adapter.decode(entry);
        if (decoded instanceof DecodedEntry.Routes newer) {
            applyRoutes(newer.table());
        } else if (decoded instanceof DecodedEntry.InstanceRegistered registered) {
            registerIfNamed(registered.entry());
        } else if (decoded instanceof DecodedEntry.InstanceMissing missing) {
            unnamedInstances.remove(missing.id());
            missing.reason().ifPresent(reason -> recordUnreadableEntry(entry.key(), reason));
            instanceRegistry.markMissing(missing.id(), clock.nanoTime());
        } else if (decoded instanceof DecodedEntry.Unreadable unreadable) {
            recordUnreadableEntry(entry.key(), unreadable.reason());
        } else {
            applyInternalEntry(entry);
        }
    }

    private void applyInternalEntry(StoreEntry entry) {
        try {
            membership.onStoreChange(entry);
            failoverCoordinator.onStoreChange(entry);
            quota.ifPresent(q -> q.onStoreChange(entry));
        } catch (IllegalArgumentException e) {
            recordUnreadableEntry(entry.key(), String.valueOf(e.getMessage()));
        }
    }

    private void recordUnreadableEntry(String key, String reason) {
        events.record(
                EventCode.ENTRY_UNREADABLE, EventScope.empty(), "key=" + key + " reason=" + reason);
    }

    private void applyRoutes(RouteTable table) {
        RouteTable newer = routeTable.newer(table);
        if (newer == routeTable) {
            return;
        }
        events.record(
                EventCode.ROUTES_APPLIED,
                EventScope.empty(),
                "version=" + newer.version() + " before=" + routeTable.version());
        routeTable = newer;
        unnamedInstances.removeNamed(newer::names).forEach(this::register);
        updateConnectionLimits();
        sessions.revoke(newer)
                .ifPresent(
                        detail ->
                                events.record(
                                        EventCode.SESSIONS_REVOKED, EventScope.empty(), detail));
    }

    private void registerIfNamed(InstanceEntry entry) {
        ServiceName service = entry.service();
        if (!routeTable.isLoaded() || groups.containsKey(service) || routeTable.names(service)) {
            unnamedInstances.remove(entry.id());
            register(entry);
            return;
        }
        if (unnamedInstances.put(entry)) {
            recordUnreadableEntry(entry.id().value(), "no configuration names service=" + service);
        }
        instanceRegistry.markMissing(entry.id(), clock.nanoTime());
    }

    private void register(InstanceEntry entry) {
        if (instanceRegistry.isOutdated(entry)) {
            instanceRegistry.markPresent(entry.id());
            return;
        }
        instanceRegistry.put(entry);
        events.record(EventCode.INSTANCE_CHANGED, EventScope.empty(), entry.toString());
        groups.values().stream()
                .filter(g -> !g.name().equals(entry.service()))
                .forEach(g -> g.remove(entry.id()));
        ServiceGroup group = groups.computeIfAbsent(entry.service(), this::createGroup);
        updateConnectionLimits(group);
        group.put(entry);
    }

    private ServiceGroup createGroup(ServiceName name) {
        ServiceGroup group = ServiceGroup.of(name, upstream);
        failoverCoordinator.add(group);
        return group;
    }

    private void onMemberRestarted() {
        failoverCoordinator.onMemberRestarted();
    }

    private void onStoreListed() {
        storeListed = true;
        quota.ifPresent(QuotaService::onStoreListed);
    }

    private void onStoreReconnected() {
        instanceRegistry.restartGracePeriod(clock.nanoTime());
    }

    private void updateConnectionLimits() {
        groups.values().forEach(this::updateConnectionLimits);
    }

    private void updateConnectionLimits(ServiceGroup group) {
        boolean accountsInUse = routeTable.accounts().isPresent();
        group.setConnectionQuota(
                Optional.ofNullable(routeTable.connectionLimits().get(group.name()))
                        .map(limit -> membership.connectionQuota(limit, accountsInUse))
                        .orElse(ConnectionQuota.fixed(1, membership.members().size())));
    }

    private void tick() {
        // Scheduled first, so that an exception does not end the ticks.
        clock.schedule(this::tick, TICK_INTERVAL);
        detectPause();
        List<ServiceGroup> all = List.copyOf(groups.values());
        isolation.run("expiring instances", this::expireInstances);
        isolation.run("updating connection limits", this::updateConnectionLimits);
        store.observedAt()
                .ifPresent(
                        at ->
                                all.forEach(
                                        group -> group.primaryCertainty().setStoreObservedAt(at)));
        all.forEach(group -> isolation.run("tick of " + group.name(), group::tick));
        isolation.run("tick of failovers", () -> tickFailovers(all));
        isolation.run("updating quota members", this::updateQuotaMembers);
        isolation.run("logging connection counts", connectionCounts::tick);
        ready = ready || storeListed && routeTable.isLoaded() && hasConnections();
    }

    private void expireInstances() {
        if (storeWatcher.isReachable()) {
            instanceRegistry.expire(clock.nanoTime()).forEach(this::onInstanceExpired);
        }
    }

    private void tickFailovers(List<ServiceGroup> all) {
        failoverCoordinator.setStoreReachable(storeWatcher.isReachable());
        failoverCoordinator.tick(all, membership.members(), membership.lease());
    }

    private void updateQuotaMembers() {
        quota.ifPresent(q -> q.onMembers(membership.members()));
    }

    private boolean hasConnections() {
        return groups.isEmpty()
                || groups.values().stream().anyMatch(g -> g.openConnectionCount() > 0);
    }

    private void onInstanceExpired(InstanceEntry entry) {
        events.record(EventCode.INSTANCE_CHANGED, EventScope.empty(), "gone=" + entry.id());
        Optional.ofNullable(groups.get(entry.service())).ifPresent(g -> g.remove(entry.id()));
    }

    private void detectPause() {
        long nowNanos = clock.nanoTime();
        long nowMillis = clock.instant().toEpochMilli();
        boolean paused =
                nowNanos - lastTickNanos > PAUSE_THRESHOLD.toNanos()
                        || nowMillis - lastTickMillis > PAUSE_THRESHOLD.toMillis();
        if (paused) {
            events.record(
                    EventCode.PROCESS_PAUSED,
                    EventScope.empty(),
                    "clock_ms="
                            + (nowNanos - lastTickNanos) / 1_000_000
                            + " time_of_day_ms="
                            + (nowMillis - lastTickMillis));
            groups.values().forEach(ServiceGroup::resetTimersAfterPause);
        }
        lastTickNanos = nowNanos;
        lastTickMillis = nowMillis;
    }

    private void beginShutdown() {
        if (stopping) {
            return;
        }
        stopping = true;
        events.record(
                EventCode.SHUTDOWN_STARTED, EventScope.empty(), "sessions=" + sessions.size());
        quota.ifPresent(QuotaService::stopOwning);
        ShutdownSchedule schedule = ShutdownSchedule.of(shutdownTimeout);
        gate.beginShutdown(schedule);
        clock.schedule(() -> closeIdleSessions(schedule), schedule.readinessPropagationDelay());
        clock.schedule(sessions::abortTransactions, schedule.transactionAbortDelay());
        clock.schedule(this::endSessions, schedule.sessionEndDelay());
        clock.schedule(this::endShutdown, schedule.exitDelay());
    }

    private void closeIdleSessions(ShutdownSchedule schedule) {
        sessions.closeWhenIdle(schedule.idleCloseWindow());
        clock.schedule(this::closeRemainingSessions, schedule.idleCloseWindow());
    }

    /** Completes the shutdown once no session is left; new clients are served until then. */
    private void closeRemainingSessions() {
        sessions.closeWhenIdle();
        if (sessions.isEmpty() && !acceptingClients) {
            endShutdown();
            return;
        }
        if (sessions.isEmpty()) {
            acceptingClients = false;
            adapter.stopListening();
        }
        clock.schedule(this::closeRemainingSessions, TICK_INTERVAL);
    }

    private void endSessions() {
        acceptingClients = false;
        adapter.stopListening();
        sessions.endForShutdown();
    }

    private void endShutdown() {
        if (shutdownEnded) {
            return;
        }
        shutdownEnded = true;
        adapter.stopListening();
        sessions.timeOutStatements();
        membership.leave();
        quota.ifPresent(QuotaService::close);
        events.record(EventCode.SHUTDOWN_ENDED, EventScope.empty(), "sessions=" + sessions.size());
        clock.schedule(stopped::countDown, TICK_INTERVAL);
    }
}
