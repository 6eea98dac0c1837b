package org.carobstage.node;

import static java.util.Objects.requireNonNull;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import org.carobstage.backend.HttpBackend;
import org.carobstage.caller.CallerServer;
import org.carobstage.config.ConfigurationWatch;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.model.Address;
import org.carobstage.model.GroupSpec;
import org.carobstage.operator.OperatorEndpointData;
import org.carobstage.operator.OperatorServer;
import org.carobstage.platform.HttpPlatform;
import org.carobstage.platform.Platform;
import org.carobstage.pool.Quota;
import org.carobstage.promotion.PromotionAnnouncer;
import org.carobstage.promotion.PromotionContext;
import org.carobstage.promotion.ProposerRanking;
import org.carobstage.runtime.Clock;
import org.carobstage.runtime.Closer;
import org.carobstage.runtime.SerialExecutor;
import org.carobstage.security.TokenKeys;
import org.carobstage.session.TokenCodec;
import org.carobstage.settings.Settings;

/** The running process of an entry VM: the proxy with its servers and clients. */
public final class Node implements AutoCloseable {
    private static final int RING_CAPACITY = 65_536;
    private static final int EVENT_CAPACITY = 4_096;
    private static final int CONTROL_CAPACITY = 16_384;

    private final Settings settings;
    private final Closer closer = Closer.empty();
    private final PrometheusMeterRegistry metrics =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Clock clock;
    private final EventLog events;
    private final Platform platform;
    private final Proxy proxy;
    private CallerServer caller;
    private OperatorServer operator;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private volatile boolean isReady;

    private Node(Settings settings) {
        this.settings = settings;
        Executor executor = Executors.newCachedThreadExecutor();
        closer.add(() -> executor.closeAsync().subscribe());
        this.clock = Clock.of(executor);
        this.events = EventLog.of(settings.vm().id(), clock, EVENT_CAPACITY);
        SerialExecutor duty = closer.add(SerialExecutor.of("statements", RING_CAPACITY));
        this.platform =
                closer.add(
                        HttpPlatform.of(
                                settings.platform().address(), HttpPlatform.PROCESS_TIMEOUT));
        PromotionContext promotion =
                PromotionContext.of(events)
                        .withAnnouncer(PromotionAnnouncer.of(platform, clock, events))
                        .withProposerRanking(ProposerRanking.singleProposer());
        this.proxy =
                closer.add(
                        Proxy.of(
                                clock,
                                duty,
                                events,
                                HttpBackend::of,
                                this::share,
                                metrics,
                                promotion));
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

    /**
     * Tells whether callers may be sent here.
     *
     * @return true after the start and before the shutdown
     */
    public boolean isReady() {
        return isReady;
    }

    /**
     * Returns how many requests of callers are in progress.
     *
     * @return the number of requests whose answers have not been written yet
     */
    public int activeRequestCount() {
        return caller.activeRequestCount();
    }

    /** Shuts down gracefully; returns once callers have no more work here. */
    @Override
    public void close() {
        if (stopping.compareAndSet(false, true)) {
            isReady = false;
            GracefulShutdown.of(settings.shutdown(), clock, events, caller, proxy).run();
            closer.close();
        }
    }

    private void start() {
        SerialExecutor duty = closer.add(SerialExecutor.of("configuration", CONTROL_CAPACITY));
        ConfigurationWatch watch =
                closer.add(ConfigurationWatch.of(platform, clock, duty, events, proxy::apply));
        watch.initialConfiguration().toCompletableFuture().join();
        TokenCodec tokens = TokenCodec.of(closer.add(tokenKeys()));
        OperatorEndpointData pages =
                new OperatorEndpointData(
                        metrics,
                        events,
                        () -> isReady,
                        () -> StatusMessageFactory.of(settings, proxy, isReady));
        operator = closer.add(OperatorServer.of(settings.operator(), pages));
        caller = closer.add(CallerServer.of(settings.caller(), proxy, tokens));
        isReady = true;
        events.record(
                EventCode.PROCESS_STARTED,
                EventScope.empty(),
                "callers at " + caller.address() + ", operators at " + operator.address());
    }

    private TokenKeys tokenKeys() {
        return settings.session()
                .tokenKeysFile()
                .map(file -> TokenKeys.ofFile(file, clock, events))
                .orElseGet(() -> TokenKeys.of(settings.session().tokenKey().orElseThrow()));
    }

    private Quota share(GroupSpec spec) {
        int vms = settings.vm().entryVmCount();
        int slots = Math.max(1, spec.slots() / vms);
        return new Quota(slots, Math.max(1, spec.connections() / vms));
    }
}
