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
import org.carobstage.backend.Answer;
import org.carobstage.backend.BackendMessages.Execute;
import org.carobstage.backend.Standing;
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
import org.carobstage.pool.Share;
import org.carobstage.promotion.PromotionSetup;
import org.carobstage.promotion.ProposerRank;
import org.carobstage.runtime.PausedClock;
import org.carobstage.statement.Outcome;
import org.carobstage.statement.StatementRequest;
import org.carobstage.testbed.database.DatabaseInstance;
import org.carobstage.testbed.database.DatabaseSession;
import org.carobstage.testbed.database.InstanceSettings;

/** Entry VMs over a group in this process; each writes one row after the other. */
final class FailoverFixture {
    static final GroupId GROUP = GroupId.of("varas-1");
    private static final Duration STEP = Duration.ofMillis(1);
    private static final Duration PATIENCE = Duration.ofMillis(300);
    private static final RequestPolicy WRITE =
            new RequestPolicy(Access.WRITE, Duration.ZERO, false, PATIENCE);

    final PausedClock clock = PausedClock.of(Instant.parse("2026-01-01T00:00:00Z"));
    final LocalGroup group;
    final Map<VmId, Proxy> proxies = new LinkedHashMap<>();
    final Map<VmId, PausableVm> vms = new LinkedHashMap<>();
    final Map<VmId, EventLog> logs = new LinkedHashMap<>();
    final List<Acknowledged> acknowledged = new ArrayList<>();
    final List<Long> completedNanos = new ArrayList<>();
    private final Random random;
    private int rows;

    private FailoverFixture(long seed, long lagMillis, boolean ranked, String... vms) {
        random = new Random(seed);
        group =
                LocalGroup.of(
                        clock,
                        GROUP,
                        new InstanceSettings(InstanceId.of("any"), 30, 60, 10, lagMillis, 1));
        TreeSet<VmId> live = new TreeSet<>();
        for (String vm : vms) {
            live.add(VmId.of(vm));
        }
        live.forEach(vm -> proxies.put(vm, proxy(vm, ranked ? live : new TreeSet<>())));
        run(Duration.ofMillis(600));
        write(live.first(), "CREATE TABLE t (id INT)", o -> {});
        run(Duration.ofMillis(100));
    }

    static FailoverFixture of(long seed, String... vms) {
        return new FailoverFixture(seed, 0, true, vms);
    }

    /** Every entry VM takes itself for the first that may propose. */
    static FailoverFixture unranked(long seed, String... vms) {
        return new FailoverFixture(seed, 0, false, vms);
    }

    static FailoverFixture lagging(long lagMillis, String... vms) {
        return new FailoverFixture(1, lagMillis, true, vms);
    }

    /** A write that a caller was told is done. */
    record Acknowledged(int row, InstanceId by, LogPosition position, long nanos) {}

    Group view(String vm) {
        return proxies.get(VmId.of(vm)).group(GROUP).orElseThrow();
    }

    InstanceId primary(String vm) {
        return view(vm).view().primary().map(Standing::instance).orElseThrow();
    }

    /** Lets every entry VM write one row after the other. */
    void startWriters() {
        proxies.keySet().forEach(this::writeNext);
    }

    void run(Duration time) {
        long steps = time.toNanos() / STEP.toNanos();
        for (long i = 0; i < steps; i++) {
            clock.advance(STEP);
        }
    }

    long count(EventCode code) {
        return logs.values().stream()
                .flatMap(log -> log.events().stream())
                .filter(event -> event.code() == code)
                .count();
    }

    List<Integer> rowsAt(InstanceId instance) {
        DatabaseInstance at = group.instance(instance);
        long term = at.standing().promised().number();
        Execute read = new Execute(term, "SELECT id FROM t", List.of(), true, 0, 0, null);
        try (DatabaseSession session = at.open().orElseThrow()) {
            Answer.Done done = (Answer.Done) session.execute(read);
            return done.rows().stream().map(row -> (Integer) row.get(0)).toList();
        } catch (SQLException e) {
            throw new IllegalStateException(e);
        }
    }

    List<Integer> acknowledgedRows() {
        return acknowledged.stream().map(Acknowledged::row).toList();
    }

    long lastAcknowledgedNanos() {
        return acknowledged.get(acknowledged.size() - 1).nanos();
    }

    private void writeNext(VmId vm) {
        int row = ++rows;
        write(
                vm,
                "INSERT INTO t VALUES (" + row + ")",
                outcome -> {
                    if (outcome instanceof Outcome.Done done) {
                        acknowledged.add(
                                new Acknowledged(
                                        row, done.instance(), done.seen(), clock.nanoTime()));
                    }
                });
        Duration pause = Duration.ofMillis(4 + random.nextInt(4));
        vms.get(vm).schedule(() -> writeNext(vm), pause);
    }

    private void write(VmId vm, String sql, Consumer<Outcome> then) {
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
                        proxy.deadline(PATIENCE));
        proxy.run(request).thenAccept(then);
    }

    private Proxy proxy(VmId vm, TreeSet<VmId> live) {
        PausableVm machine = new PausableVm(clock);
        vms.put(vm, machine);
        EventLog events = EventLog.of(vm, clock, 1_000);
        logs.put(vm, events);
        PromotionSetup setup =
                PromotionSetup.of(events)
                        .withTags(random::nextInt)
                        .withRank(ProposerRank.byHash(vm, () -> live))
                        .withAnnouncer(a -> completedNanos.add(clock.nanoTime()));
        Proxy proxy =
                Proxy.of(
                        machine,
                        machine,
                        events,
                        instance -> group.backend(vm, instance),
                        spec -> new Share(5, 10),
                        new SimpleMeterRegistry(),
                        setup);
        proxy.apply(new Configuration(Map.of(), Map.of(GROUP, group.spec())));
        return proxy;
    }
}
