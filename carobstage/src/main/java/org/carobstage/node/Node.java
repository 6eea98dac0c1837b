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
import org.carobstage.runtime.BuildInfo;
import org.carobstage.runtime.BuildInfoMetric;
import org.carobstage.runtime.Clock;
import org.carobstage.runtime.Closer;
import org.carobstage.runtime.SerialExecutor;
import org.carobstage.security.TokenKeys;
import org.carobstage.session.TokenCodec;
import org.carobstage.settings.Settings;

/** The running process of an entry VM: the proxy with its servers and clients. */
public final class Node implements AutoCloseable {
    private static final int STATEMENT_QUEUE_CAPACITY = 65_536;
    private static final int EVENT_LOG_CAPACITY = 4_096;
    private static final int CONFIGURATION_QUEUE_CAPACITY = 16_384;

    private final Settings settings;
    private final Closer closer = Closer.empty();
    private final PrometheusMeterRegistry meterRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Clock clock;
    private final EventLog events;
    private final Platform platform;
    private final Proxy proxy;
    private CallerServer callerServer;
    private OperatorServer operatorServer;
    private final AtomicBoolean closed = new AtomicBoolean();
    private volatile boolean isReady;

    private Node(Settings settings) {
        this.settings = settings;
        Executor executor = Executors.newCachedThreadExecutor();
        closer.add(() -> executor.closeAsync().subscribe());
        this.clock = Clock.of(executor);
        this.events = EventLog.of(settings.vm().id(), clock, EVENT_LOG_CAPACITY);
        SerialExecutor statementExecutor =
                closer.add(SerialExecutor.of("statements", STATEMENT_QUEUE_CAPACITY));
        this.platform =
                closer.add(
                        HttpPlatform.of(
                                settings.platform().address(), HttpPlatform.PROCESS_TIMEOUT));
        PromotionContext promotionContext =
                PromotionContext.of(events)
                        .withAnnouncer(PromotionAnnouncer.of(platform, clock, events))
                        .withProposerRanking(ProposerRanking.singleProposer());
        this.proxy =
                closer.add(
                        Proxy.of(
                                clock,
                                statementExecutor,
                                events,
                                HttpBackend::of,
                                this::quotaFor,
                                meterRegistry,
                                promotionContext));
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
     * Returns the listen address of the callers' interface.
     *
     * @return the address
     */
    public Address callerAddress() {
        return callerServer.address();
    }

    /**
     * Returns the listen address of the operators' interface.
     *
     * @return the address
     */
    public Address operatorAddress() {
        return operatorServer.address();
    }

    /**
     * Returns whether the process is ready to serve callers.
     *
     * @return true from the end of the start until the shutdown begins
     */
    public boolean isReady() {
        return isReady;
    }

    /**
     * Returns the number of requests from callers that are in progress.
     *
     * @return the number of requests whose responses are not yet fully written
     */
    public int activeRequestCount() {
        return callerServer.activeRequestCount();
    }

    /**
     * Shuts the process down gracefully; returns once no request or transaction is in progress or
     * the drain timeout has passed.
     */
    @Override
    public void close() {
        if (closed.compareAndSet(false, true)) {
            isReady = false;
            GracefulShutdown.of(settings.shutdown(), clock, events, callerServer, proxy).run();
            closer.close();
        }
    }

    private void start() {
        events.record(
                EventCode.PROCESS_STARTING, EventScope.empty(), BuildInfo.current().describe());
        BuildInfoMetric.register(meterRegistry);
        SerialExecutor configurationExecutor =
                closer.add(SerialExecutor.of("configuration", CONFIGURATION_QUEUE_CAPACITY));
        ConfigurationWatch watch =
                closer.add(
                        ConfigurationWatch.of(
                                platform, clock, configurationExecutor, events, proxy::apply));
        watch.initialConfiguration().toCompletableFuture().join();
        TokenCodec tokenCodec = TokenCodec.of(closer.add(openTokenKeys()));
        OperatorEndpointData endpointData =
                new OperatorEndpointData(
                        meterRegistry,
                        events,
                        () -> isReady,
                        () -> StatusMessageFactory.of(settings, proxy, isReady));
        operatorServer = closer.add(OperatorServer.of(settings.operator(), endpointData));
        callerServer = closer.add(CallerServer.of(settings.caller(), proxy, tokenCodec));
        isReady = true;
        events.record(
                EventCode.PROCESS_STARTED,
                EventScope.empty(),
                "caller address "
                        + callerServer.address()
                        + ", operator address "
                        + operatorServer.address());
    }

    private TokenKeys openTokenKeys() {
        return settings.session()
                .tokenKeysFile()
                .map(file -> TokenKeys.ofFile(file, clock, events))
                .orElseGet(() -> TokenKeys.of(settings.session().tokenKey().orElseThrow()));
    }

    private Quota quotaFor(GroupSpec spec) {
        int vmCount = settings.vm().entryVmCount();
        int slots = Math.max(1, spec.slots() / vmCount);
        return new Quota(slots, Math.max(1, spec.connections() / vmCount));
    }
}
