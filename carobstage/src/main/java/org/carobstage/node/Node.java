package org.carobstage.node;

import static java.util.Objects.requireNonNull;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.carobstage.backend.HttpBackend;
import org.carobstage.caller.CallerServer;
import org.carobstage.caller.StatementService;
import org.carobstage.config.Configuration;
import org.carobstage.config.ConfigurationWatch;
import org.carobstage.document.RequestPolicy;
import org.carobstage.document.TeamDocument;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.group.Group;
import org.carobstage.model.Address;
import org.carobstage.model.GroupId;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.RequestClass;
import org.carobstage.model.ServiceName;
import org.carobstage.operator.OperatorServer;
import org.carobstage.platform.HttpPlatform;
import org.carobstage.platform.Platform;
import org.carobstage.pool.Share;
import org.carobstage.runtime.Clock;
import org.carobstage.runtime.Closer;
import org.carobstage.runtime.SerialExecutor;
import org.carobstage.session.TokenCodec;
import org.carobstage.settings.Settings;
import org.carobstage.statement.Outcome;
import org.carobstage.statement.StatementRequest;
import org.carobstage.statement.StatementRunner;

/** The running process of an entry VM. */
public final class Node implements AutoCloseable, StatementService {
    private static final int RING_CAPACITY = 65_536;
    private static final int EVENT_CAPACITY = 4_096;

    private final Settings settings;
    private final Closer closer = Closer.empty();
    private final Clock clock;
    private final EventLog events;
    private final SerialExecutor duty;
    private final StatementRunner runner;
    private final Map<GroupId, Group> groups = new ConcurrentHashMap<>();
    private volatile Configuration configuration = Configuration.empty();
    private CallerServer caller;
    private OperatorServer operator;

    private Node(Settings settings) {
        this.settings = settings;
        Executor executor = Executors.newCachedThreadExecutor();
        closer.add(() -> executor.closeAsync().subscribe());
        this.clock = Clock.of(executor);
        this.events = EventLog.of(settings.vm(), clock, EVENT_CAPACITY);
        this.duty = closer.add(SerialExecutor.of("statements", RING_CAPACITY));
        this.runner = StatementRunner.of(clock, duty);
    }

    /**
     * Starts the process.
     *
     * @param settings its settings
     * @return the running process
     */
    public static Node of(Settings settings) {
        Node node = new Node(requireNonNull(settings, "settings is null"));
        node.start();
        return node;
    }

    /**
     * Returns where callers reach the process.
     *
     * @return the address
     */
    public Address callerAddress() {
        return caller.address();
    }

    /**
     * Returns where operators reach the process.
     *
     * @return the address
     */
    public Address operatorAddress() {
        return operator.address();
    }

    @Override
    public RequestPolicy policy(ServiceName service, RequestClass requestClass) {
        TeamDocument document = configuration.documents().get(service);
        if (document == null) {
            throw CodedException.of(ErrorCode.UNKNOWN_SERVICE, "no document for " + service);
        }
        return document.policy(requestClass, clock.instant())
                .orElseThrow(
                        () ->
                                CodedException.of(
                                        ErrorCode.UNKNOWN_CLASS, "no class " + requestClass));
    }

    @Override
    public long deadline(Duration patience) {
        return clock.nanoTime() + patience.toNanos();
    }

    @Override
    public CompletionStage<Outcome> run(StatementRequest request) {
        Group group = groups.get(request.group());
        if (group == null) {
            throw CodedException.of(ErrorCode.UNKNOWN_GROUP, "no group " + request.group());
        }
        CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        boolean taken = duty.offer(() -> runner.run(group, request).thenAccept(outcome::complete));
        if (!taken) {
            throw CodedException.of(ErrorCode.OVERLOADED, "too many statements wait");
        }
        return outcome;
    }

    @Override
    public void close() {
        events.record(EventCode.SHUTDOWN_STARTED, EventScope.empty(), "");
        closer.close();
    }

    private void start() {
        Platform platform = closer.add(HttpPlatform.of(settings.platform()));
        ConfigurationWatch watch = closer.add(ConfigurationWatch.of(platform, clock, this::apply));
        watch.first().toCompletableFuture().join();
        byte[] key = settings.tokenKey().getBytes(StandardCharsets.UTF_8);
        TokenCodec tokens = TokenCodec.of(() -> List.of(key));
        PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        operator = closer.add(OperatorServer.of(settings.operator(), metrics, events, () -> true));
        caller =
                closer.add(
                        CallerServer.of(
                                settings.caller(), this, tokens, settings.maxStatementBytes()));
        events.record(
                EventCode.PROCESS_STARTED,
                EventScope.empty(),
                "callers at " + caller.address() + ", operators at " + operator.address());
    }

    private void apply(Configuration next) {
        next.groups().values().forEach(this::startGroup);
        configuration = next;
        events.record(
                EventCode.CONFIGURATION_APPLIED,
                EventScope.empty(),
                next.documents().size() + " documents, " + next.groups().size() + " groups");
    }

    private void startGroup(GroupSpec spec) {
        Group current = groups.get(spec.id());
        if (current != null && current.view().spec().equals(spec)) {
            return;
        }
        int vms = settings.entryVms();
        int slots = Math.max(1, spec.slots() / vms);
        Share share = new Share(slots, Math.max(1, spec.connections() / vms));
        groups.put(spec.id(), Group.of(spec, HttpBackend::of, () -> share, clock, duty));
        Optional.ofNullable(current).ifPresent(Group::close);
    }
}
