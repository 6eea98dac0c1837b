package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.discovery.InstanceRegistry;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.failover.FailoverContext;
import org.carobstage.failover.FailoverCoordinator;
import org.carobstage.front.PlatformAdapter.DecodedEntry;
import org.carobstage.model.ServiceName;
import org.carobstage.route.RouteTable;
import org.carobstage.runtime.Clock;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreWatcher;
import org.carobstage.upstream.ServiceGroup;
import org.carobstage.upstream.UpstreamContext;

/** A process that serves client sessions; all its state changes on the adapter's event loop. */
public final class ProxyServer implements AutoCloseable {
    private static final Duration TICK = Duration.ofMillis(50);

    /** A tick that comes this late shows that the process did not run. */
    private static final Duration PAUSE_SEEN = Duration.ofMillis(600);

    private static final int KEPT_EVENTS = 512;

    private final PlatformAdapter adapter;
    private final Clock clock;
    private final EventLog events;
    private final SessionContext context;
    private final UpstreamContext upstream;
    private final ClusterMembership fleet;
    private final FailoverCoordinator failovers;
    private final StoreWatcher mirror;
    private final InstanceRegistry directory = InstanceRegistry.empty();
    private final Map<ServiceName, ServiceGroup> groups = new TreeMap<>();
    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    private final ProxyMetrics metrics = ProxyMetrics.empty();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final Duration stopLimit;
    private RouteTable routes = RouteTable.empty();
    private boolean listed;
    private boolean ready;
    private boolean stopping;
    private boolean listening = true;
    private boolean ended;
    private long lastTick;
    private long lastTickMillis;

    private ProxyServer(ProxyServerSettings settings, PlatformAdapter adapter) {
        this.adapter = adapter;
        this.clock = adapter.clock();
        this.stopLimit = settings.shutdownTimeout();
        this.events = EventLog.of(settings.vm(), clock, KEPT_EVENTS);
        this.context =
                new SessionContext(
                        clock,
                        () -> routes,
                        name -> Optional.ofNullable(groups.get(name)),
                        RequestEventLog.of(events, clock),
                        metrics);
        this.upstream =
                new UpstreamContext(
                        clock, adapter.instanceConnector(), settings.failureDomain(), events);
        this.fleet = new ClusterMembership(settings.vm(), adapter.metadataStore(), clock, events);
        this.failovers =
                FailoverCoordinator.of(
                        new FailoverContext(
                                settings.vm(),
                                clock,
                                adapter.metadataStore(),
                                adapter.promotionClient(),
                                events));
        this.mirror =
                StoreWatcher.of(
                        adapter.metadataStore(),
                        clock,
                        events,
                        StoreWatcher.Listener.of(this::changed, this::listed, this::regained));
    }

    /**
     * Starts a process.
     *
     * @param settings its settings
     * @param adapter the platform it runs on
     * @return the running process
     */
    public static ProxyServer launch(ProxyServerSettings settings, PlatformAdapter adapter) {
        requireNonNull(settings, "settings is null");
        ProxyServer front = new ProxyServer(settings, requireNonNull(adapter, "adapter is null"));
        adapter.execute(front::start);
        return front;
    }

    /** Stops gracefully: no new clients, then idle sessions close, then open transactions end. */
    public void stop() {
        adapter.execute(this::beginStop);
    }

    /** Notes that the settings file was read again. */
    public void recordSettingsReload() {
        adapter.execute(
                () ->
                        events.record(
                                EventCode.SETTINGS_RELOADED,
                                EventScope.empty(),
                                "no setting changes while the process runs"));
    }

    /**
     * Waits until the process has stopped.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitStop() throws InterruptedException {
        stopped.await();
    }

    boolean isStopped() {
        return stopped.getCount() == 0;
    }

    @Override
    public void close() {
        mirror.close();
        adapter.close();
    }

    private void start() {
        lastTick = clock.nanoTime();
        lastTickMillis = clock.instant().toEpochMilli();
        adapter.listenForClients(this::session);
        adapter.listenForProbes(
                () -> ready && !stopping, () -> PrometheusExporter.export(metrics, groups));
        mirror.start();
        fleet.join();
        events.record(EventCode.PROCESS_STARTED, EventScope.empty(), "");
        clock.schedule(this::tick, TICK);
    }

    private ClientSession session(String database, ClientChannel channel) {
        ClientSession[] self = new ClientSession[1];
        self[0] = new ClientSession(context, channel, database, () -> sessions.remove(self[0]));
        sessions.add(self[0]);
        self[0].open();
        return self[0];
    }

    private void changed(StoreEntry item) {
        DecodedEntry fact = adapter.decode(item);
        if (fact instanceof DecodedEntry.Routes newer) {
            apply(newer.table());
        } else if (fact instanceof DecodedEntry.InstanceRegistered registered) {
            register(registered.entry());
        } else if (fact instanceof DecodedEntry.InstanceMissing missing) {
            missing.reason().ifPresent(reason -> unreadable(item.key(), reason));
            directory.markMissing(missing.id(), clock.nanoTime());
        } else if (fact instanceof DecodedEntry.Unreadable unreadable) {
            unreadable(item.key(), unreadable.reason());
        } else {
            fleet.onStoreChange(item);
            failovers.onStoreChange(item);
        }
    }

    private void unreadable(String key, String reason) {
        events.record(
                EventCode.ENTRY_UNREADABLE, EventScope.empty(), "key=" + key + " reason=" + reason);
    }

    private void apply(RouteTable table) {
        RouteTable newer = routes.newer(table);
        if (newer == routes) {
            return;
        }
        events.record(
                EventCode.ROUTES_APPLIED,
                EventScope.empty(),
                "version=" + newer.version() + " before=" + routes.version());
        routes = newer;
        share();
    }

    private void register(InstanceEntry entry) {
        directory.put(entry);
        events.record(EventCode.INSTANCE_CHANGED, EventScope.empty(), entry.toString());
        groups.values().stream()
                .filter(g -> !g.name().equals(entry.service()))
                .forEach(g -> g.remove(entry.id()));
        ServiceGroup group =
                groups.computeIfAbsent(entry.service(), n -> ServiceGroup.of(n, upstream));
        share(group);
        group.put(entry);
    }

    private void listed() {
        listed = true;
    }

    private void regained() {
        directory.restartGracePeriod(clock.nanoTime());
    }

    private void share() {
        groups.values().forEach(this::share);
    }

    private void share(ServiceGroup group) {
        int connections =
                Optional.ofNullable(routes.connectionLimits().get(group.name()))
                        .map(fleet::connectionQuota)
                        .orElse(1);
        group.setConnectionLimit(connections, fleet.members().size());
    }

    private void tick() {
        noticePause();
        if (mirror.isReachable()) {
            directory.expire(clock.nanoTime()).forEach(this::gone);
        }
        share();
        List<ServiceGroup> all = List.copyOf(groups.values());
        all.forEach(ServiceGroup::tick);
        failovers.tick(all, fleet.members(), fleet.lease());
        ready = ready || listed && routes.isLoaded() && hasConnections();
        clock.schedule(this::tick, TICK);
    }

    private boolean hasConnections() {
        return groups.isEmpty()
                || groups.values().stream().anyMatch(g -> g.openConnectionCount() > 0);
    }

    private void gone(InstanceEntry entry) {
        events.record(EventCode.INSTANCE_CHANGED, EventScope.empty(), "gone=" + entry.id());
        Optional.ofNullable(groups.get(entry.service())).ifPresent(g -> g.remove(entry.id()));
    }

    private void noticePause() {
        long now = clock.nanoTime();
        long millis = clock.instant().toEpochMilli();
        boolean late =
                now - lastTick > PAUSE_SEEN.toNanos()
                        || millis - lastTickMillis > PAUSE_SEEN.toMillis();
        if (late) {
            events.record(
                    EventCode.PROCESS_PAUSED,
                    EventScope.empty(),
                    "clock_ms="
                            + (now - lastTick) / 1_000_000
                            + " time_of_day_ms="
                            + (millis - lastTickMillis));
            groups.values().forEach(ServiceGroup::resetTimersAfterPause);
        }
        lastTick = now;
        lastTickMillis = millis;
    }

    private void beginStop() {
        if (stopping) {
            return;
        }
        stopping = true;
        events.record(
                EventCode.SHUTDOWN_STARTED, EventScope.empty(), "sessions=" + sessions.size());
        ShutdownSchedule schedule = ShutdownSchedule.of(stopLimit);
        clock.schedule(() -> closeIdle(schedule), schedule.readinessPropagationDelay());
        clock.schedule(this::abortTransactions, schedule.transactionAbortDelay());
        clock.schedule(this::endStop, schedule.exitDelay());
    }

    private void closeIdle(ShutdownSchedule schedule) {
        List<ClientSession> all = new ArrayList<>(sessions);
        Duration spread = schedule.idleCloseWindow().dividedBy(Math.max(1, all.size()));
        for (int i = 0; i < all.size(); i++) {
            clock.schedule(all.get(i)::closeWhenIdle, spread.multipliedBy(i));
        }
        clock.schedule(this::closeLate, schedule.idleCloseWindow());
    }

    /** Ends the stop once nobody is left; clients that came meanwhile are served first. */
    private void closeLate() {
        List.copyOf(sessions).forEach(ClientSession::closeWhenIdle);
        if (sessions.isEmpty() && !listening) {
            endStop();
            return;
        }
        if (sessions.isEmpty()) {
            listening = false;
            adapter.stopListening();
        }
        clock.schedule(this::closeLate, TICK);
    }

    private void abortTransactions() {
        List.copyOf(sessions).forEach(ClientSession::abortTransaction);
    }

    private void endStop() {
        if (ended) {
            return;
        }
        ended = true;
        adapter.stopListening();
        fleet.leave();
        events.record(EventCode.SHUTDOWN_ENDED, EventScope.empty(), "sessions=" + sessions.size());
        clock.schedule(stopped::countDown, TICK);
    }
}
