package org.carobstage.testbed.local;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.sql.SQLException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.carobstage.backend.BackendMessages.ExecuteRequest;
import org.carobstage.backend.BackendResult;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.config.Configuration;
import org.carobstage.document.RequestPolicy;
import org.carobstage.document.RequestPolicy.Access;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.group.Group;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.model.VmId;
import org.carobstage.node.Proxy;
import org.carobstage.pool.Quota;
import org.carobstage.promotion.PromotionContext;
import org.carobstage.promotion.ProposerRanking;
import org.carobstage.runtime.ManualClock;
import org.carobstage.statement.Outcome;
import org.carobstage.statement.StatementRequest;
import org.carobstage.testbed.database.DatabaseInstance;
import org.carobstage.testbed.database.DatabaseSession;
import org.carobstage.testbed.database.InstanceSettings;

/** Entry VMs connected to an in-process group, each of which can insert rows one after another. */
final class FailoverFixture {
    static final GroupId GROUP = GroupId.of("varas-1");
    private static final Duration STEP = Duration.ofMillis(1);
    private static final Duration PATIENCE = Duration.ofMillis(300);
    private static final RequestPolicy WRITE =
            new RequestPolicy(Access.WRITE, Duration.ZERO, false, PATIENCE);

    final ManualClock clock = ManualClock.of(Instant.parse("2026-01-01T00:00:00Z"));
    final LocalGroup group;
    final Map<VmId, Proxy> proxies = new LinkedHashMap<>();
    final Map<VmId, PausableVm> vms = new LinkedHashMap<>();
    final Map<VmId, EventLog> eventLogs = new LinkedHashMap<>();
    final List<AcknowledgedWrite> acknowledgedWrites = new ArrayList<>();
    final List<Long> promotionCompletedNanos = new ArrayList<>();
    private final Random random;
    private int lastRow;

    private FailoverFixture(long seed, long lagMillis, boolean ranksProposers, String... vms) {
        random = new Random(seed);
        group =
                LocalGroup.of(
                        clock,
                        GROUP,
                        new InstanceSettings(InstanceId.of("any"), 30, 60, 10, lagMillis, 1));
        TreeSet<VmId> liveVms = new TreeSet<>();
        for (String vm : vms) {
            liveVms.add(VmId.of(vm));
        }
        liveVms.forEach(
                vm -> proxies.put(vm, createProxy(vm, ranksProposers ? liveVms : new TreeSet<>())));
        advance(Duration.ofMillis(600));
        write(liveVms.first(), "CREATE TABLE t (id INT)", outcome -> {});
        advance(Duration.ofMillis(100));
    }

    static FailoverFixture of(long seed, String... vms) {
        return new FailoverFixture(seed, 0, true, vms);
    }

    /** Every entry VM ranks itself as first proposer, so that all propose at once. */
    static FailoverFixture withoutProposerRank(long seed, String... vms) {
        return new FailoverFixture(seed, 0, false, vms);
    }

    static FailoverFixture withReplicationLag(long lagMillis, String... vms) {
        return new FailoverFixture(1, lagMillis, true, vms);
    }

    /** A write that was acknowledged to its caller. */
    record AcknowledgedWrite(
            int row, InstanceId instance, LogPosition position, long acknowledgedNanos) {}

    Group groupSeenBy(String vm) {
        return proxies.get(VmId.of(vm)).group(GROUP).orElseThrow();
    }

    InstanceId primarySeenBy(String vm) {
        return groupSeenBy(vm).view().primary().map(ReplicationStatus::instance).orElseThrow();
    }

    /** Makes every entry VM insert rows one after another. */
    void startWriters() {
        proxies.keySet().forEach(this::insertNextRow);
    }

    void advance(Duration duration) {
        long steps = duration.toNanos() / STEP.toNanos();
        for (long i = 0; i < steps; i++) {
            clock.advance(STEP);
        }
    }

    long eventCount(EventCode code) {
        return eventLogs.values().stream()
                .flatMap(log -> log.localEvents().stream())
                .filter(event -> event.code() == code)
                .count();
    }

    List<Integer> rowsAt(InstanceId instance) {
        DatabaseInstance database = group.instance(instance);
        long term = database.status().promisedTerm().number();
        ExecuteRequest request =
                new ExecuteRequest(term, "SELECT id FROM t", List.of(), true, 0, 0, null);
        try (DatabaseSession session = database.openSession().orElseThrow()) {
            BackendResult.Done done = (BackendResult.Done) session.execute(request);
            return done.rows().stream().map(row -> (Integer) row.get(0)).toList();
        } catch (SQLException e) {
            throw new IllegalStateException(e);
        }
    }

    List<Integer> acknowledgedRows() {
        return acknowledgedWrites.stream().map(AcknowledgedWrite::row).toList();
    }

    long lastAcknowledgedNanos() {
        return acknowledgedWrites.get(acknowledgedWrites.size() - 1).acknowledgedNanos();
    }

    private void insertNextRow(VmId vm) {
        int row = ++lastRow;
        write(
                vm,
                "INSERT INTO t VALUES (" + row + ")",
                outcome -> {
                    if (outcome instanceof Outcome.Done done) {
                        acknowledgedWrites.add(
                                new AcknowledgedWrite(
                                        row,
                                        done.instance(),
                                        done.logPosition(),
                                        clock.nanoTime()));
                    }
                });
        Duration delay = Duration.ofMillis(4 + random.nextInt(4));
        vms.get(vm).schedule(() -> insertNextRow(vm), delay);
    }

    private void write(VmId vm, String sql, Consumer<Outcome> onOutcome) {
        Proxy proxy = proxies.get(vm);
        StatementRequest request =
                new StatementRequest(
                        ServiceName.of("familia-forms"),
                        GROUP,
                        sql,
                        List.of(),
                        WRITE,
                        Optional.empty(),
                        Optional.empty(),
                        proxy.deadlineNanos(PATIENCE));
        proxy.run(request).thenAccept(onOutcome);
    }

    private Proxy createProxy(VmId vm, TreeSet<VmId> liveVms) {
        PausableVm pausableVm = new PausableVm(clock);
        vms.put(vm, pausableVm);
        EventLog events = EventLog.of(vm, clock, 1_000);
        eventLogs.put(vm, events);
        PromotionContext context =
                PromotionContext.of(events)
                        .withTagSource(random::nextInt)
                        .withProposerRanking(ProposerRanking.byHash(vm, () -> liveVms))
                        .withAnnouncer(
                                announcement -> promotionCompletedNanos.add(clock.nanoTime()));
        Proxy proxy =
                Proxy.of(
                        pausableVm,
                        pausableVm,
                        events,
                        instance -> group.backend(vm, instance),
                        spec -> new Quota(5, 10),
                        new SimpleMeterRegistry(),
                        context);
        proxy.apply(new Configuration(Map.of(), Map.of(GROUP, group.spec())));
        return proxy;
    }
}
