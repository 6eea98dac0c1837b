package org.carobstage.testbed.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.SQLException;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.carobstage.backend.Answer;
import org.carobstage.backend.BackendMessages.Execute;
import org.carobstage.config.Configuration;
import org.carobstage.document.DocumentReader;
import org.carobstage.document.RequestPolicy;
import org.carobstage.document.TeamDocument;
import org.carobstage.event.EventLog;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.RequestClass;
import org.carobstage.model.ServiceName;
import org.carobstage.model.Term;
import org.carobstage.model.VmId;
import org.carobstage.node.Proxy;
import org.carobstage.pool.Share;
import org.carobstage.runtime.BoundedExecutor;
import org.carobstage.runtime.PausedClock;
import org.carobstage.testbed.database.DatabaseInstance;
import org.carobstage.testbed.database.DatabaseSession;
import org.carobstage.testbed.history.Entry;
import org.carobstage.testbed.history.History;
import org.carobstage.testbed.history.LimitSample;
import org.carobstage.testbed.local.LocalFaults;
import org.carobstage.testbed.local.LocalGroup;

/** One group and its entry VMs on a paused clock. */
final class World {
    static final GroupId GROUP = GroupId.of("group-1");
    private static final Instant NOON_IN_RECIFE = Instant.parse("2026-03-02T15:00:00Z");
    private static final Duration SETTLE = Duration.ofMillis(100);
    private static final Duration STEP = Duration.ofMillis(1);
    private static final int EVENTS = 1_000;

    private final PausedClock clock = PausedClock.of(NOON_IN_RECIFE);
    private final History history = History.empty();
    private final Map<String, Proxy> proxies = new HashMap<>();
    private final TeamDocument document;
    private final LocalGroup group;

    World(Layout layout, long lagMillis, List<String> vms, Path examples) {
        document = readDocument(examples.resolve(layout.document()));
        group = LocalGroup.of(clock, GROUP, layout.limits(lagMillis));
        group.startTermOne();
        Share share =
                new Share(
                        Math.max(1, group.spec().slots() / vms.size()),
                        Math.max(1, group.spec().connections() / vms.size()));
        vms.forEach(vm -> proxies.put(vm, proxy(vm, share)));
        createTable();
        advance(SETTLE);
    }

    PausedClock clock() {
        return clock;
    }

    History history() {
        return history;
    }

    LocalFaults faults() {
        return group.faults();
    }

    ServiceName service() {
        return document.service();
    }

    Proxy proxy(String vm) {
        return Optional.ofNullable(proxies.get(vm))
                .orElseThrow(() -> new IllegalArgumentException("no entry VM " + vm));
    }

    RequestPolicy policy(String requestClass) {
        return document.policy(RequestClass.of(requestClass), clock.instant())
                .orElseThrow(() -> new IllegalArgumentException("no class " + requestClass));
    }

    InstanceId instance(String name) {
        InstanceId id = InstanceId.of(name);
        if (group.instance(id) == null) {
            throw new IllegalArgumentException("no instance " + name);
        }
        return id;
    }

    /** Advances the clock and samples what each instance bears. */
    void advance(Duration time) {
        for (Duration left = time; !left.isZero(); left = left.minus(STEP)) {
            clock.advance(STEP);
            instances().forEach(this::sample);
        }
    }

    /** Does by hand what a promotion does, with the instances that are neither cut nor frozen. */
    void promote(InstanceId primary, long number, List<InstanceId> followers) {
        Term term = Term.of(number);
        group.instance(primary).promise(term);
        followers.forEach(id -> group.instance(id).promise(term));
        group.instance(primary).promote(term);
        group.startFollowing(primary, followers);
    }

    List<Entry> lastEntries() {
        DatabaseInstance primary =
                instances()
                        .filter(i -> i.standing().primary())
                        .max(Comparator.comparing(i -> i.standing().promised()))
                        .orElseThrow(() -> new IllegalStateException("no primary"));
        return rows(primary, Entry.LIST_ALL, true).stream().map(Entry::of).toList();
    }

    private Proxy proxy(String name, Share share) {
        VmId vm = VmId.of(name);
        Proxy proxy =
                Proxy.of(
                        clock,
                        BoundedExecutor.inline(),
                        EventLog.of(vm, clock, EVENTS),
                        instance -> group.backend(vm, instance),
                        spec -> share);
        proxy.apply(
                new Configuration(
                        Map.of(document.service(), document), Map.of(GROUP, group.spec())));
        return proxy;
    }

    private void createTable() {
        DatabaseInstance primary =
                instances().filter(i -> i.standing().primary()).findFirst().orElseThrow();
        rows(primary, Entry.CREATE_TABLE, false);
    }

    private Stream<DatabaseInstance> instances() {
        return group.spec().instances().stream().map(spec -> group.instance(spec.id()));
    }

    private void sample(DatabaseInstance instance) {
        history.add(
                new LimitSample(
                        instance.settings().id().value(),
                        instance.busySlots(),
                        instance.settings().slots(),
                        instance.openSessions(),
                        instance.settings().connections(),
                        instance.refusals()));
    }

    private static List<List<Object>> rows(DatabaseInstance instance, String sql, boolean read) {
        long term = instance.standing().promised().number();
        Execute execute = new Execute(term, sql, List.of(), read, 0, 0, null);
        try (DatabaseSession session = instance.open().orElseThrow()) {
            return ((Answer.Done) session.execute(execute)).rows();
        } catch (SQLException e) {
            throw new IllegalStateException(e);
        }
    }

    private static TeamDocument readDocument(Path file) {
        try {
            return DocumentReader.read(Files.readString(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
