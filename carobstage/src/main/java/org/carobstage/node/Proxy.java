package org.carobstage.node;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.carobstage.backend.Backend;
import org.carobstage.caller.StatementService;
import org.carobstage.config.Configuration;
import org.carobstage.document.RequestPolicy;
import org.carobstage.document.RequestPolicy.Access;
import org.carobstage.document.TeamDocument;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.group.Group;
import org.carobstage.model.GroupId;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.InstanceId;
import org.carobstage.model.InstanceSpec;
import org.carobstage.model.RequestClass;
import org.carobstage.model.ServiceName;
import org.carobstage.pool.InstancePool;
import org.carobstage.pool.PoolContext;
import org.carobstage.pool.PoolMetrics;
import org.carobstage.pool.Quota;
import org.carobstage.promotion.PromotionContext;
import org.carobstage.retry.RetryBudgetRegistry;
import org.carobstage.runtime.BoundedExecutor;
import org.carobstage.runtime.Clock;
import org.carobstage.statement.IdempotencyKeyFactory;
import org.carobstage.statement.Outcome;
import org.carobstage.statement.StatementRequest;
import org.carobstage.statement.StatementRunner;
import org.carobstage.transaction.BeginResult;
import org.carobstage.transaction.TransactionRegistry;

/**
 * The proxy logic of an entry VM, without its servers, so that tests can run it on a manual clock.
 */
public final class Proxy implements AutoCloseable, StatementService {
    private static final RequestPolicy LOOK_UP_POLICY =
            new RequestPolicy(Access.WRITE, Duration.ZERO, false, Duration.ofMillis(300));

    private final Clock clock;
    private final BoundedExecutor executor;
    private final EventLog events;
    private final Function<InstanceSpec, Backend> backendFactory;
    private final Function<GroupSpec, Quota> quotas;
    private final PromotionContext promotionContext;
    private final StatementRunner runner;
    private final MeterRegistry meterRegistry;
    private final RetryBudgetRegistry retryBudgets;
    private final RandomGenerator random;
    private final TransactionRegistry transactions;
    private final Map<GroupId, Group> groups = new ConcurrentHashMap<>();
    private volatile Configuration configuration = Configuration.empty();

    private Proxy(
            Clock clock,
            BoundedExecutor executor,
            EventLog events,
            Function<InstanceSpec, Backend> backendFactory,
            Function<GroupSpec, Quota> quotas,
            MeterRegistry meterRegistry,
            PromotionContext promotionContext) {
        this.meterRegistry = meterRegistry;
        this.retryBudgets = RetryBudgetRegistry.of(clock);
        this.random = new SplittableRandom(clock.nanoTime());
        this.clock = clock;
        this.executor = executor;
        this.events = events;
        this.backendFactory = backendFactory;
        this.quotas = quotas;
        this.promotionContext = promotionContext;
        IdempotencyKeyFactory keyFactory =
                IdempotencyKeyFactory.of(events.vm() + "/" + clock.instant().toEpochMilli());
        this.runner = StatementRunner.of(clock, executor, keyFactory);
        this.transactions =
                TransactionRegistry.of(events.vm(), clock, executor, events, runner, keyFactory);
    }

    /**
     * Creates a proxy without configuration.
     *
     * @param clock the clock for deadlines and timers
     * @param executor runs the state changes one at a time
     * @param events records the events of the proxy
     * @param backendFactory creates the client of an instance
     * @param quotas returns this process's share of the slots and connections of each instance of a
     *     group; called each time the share is needed
     * @return the proxy
     */
    public static Proxy of(
            Clock clock,
            BoundedExecutor executor,
            EventLog events,
            Function<InstanceSpec, Backend> backendFactory,
            Function<GroupSpec, Quota> quotas) {
        return of(
                clock,
                executor,
                events,
                backendFactory,
                quotas,
                new SimpleMeterRegistry(),
                PromotionContext.of(events));
    }

    /**
     * Creates a proxy without configuration whose promotions are coordinated with other processes.
     *
     * @param clock the clock for deadlines and timers
     * @param executor runs the state changes one at a time
     * @param events records the events of the proxy
     * @param backendFactory creates the client of an instance
     * @param quotas returns this process's share of the slots and connections of each instance of a
     *     group; called each time the share is needed
     * @param meterRegistry holds the metrics of the connection pools
     * @param promotionContext the collaborators that promotions need
     * @return the proxy
     */
    public static Proxy of(
            Clock clock,
            BoundedExecutor executor,
            EventLog events,
            Function<InstanceSpec, Backend> backendFactory,
            Function<GroupSpec, Quota> quotas,
            MeterRegistry meterRegistry,
            PromotionContext promotionContext) {
        requireNonNull(clock, "clock is null");
        requireNonNull(executor, "executor is null");
        requireNonNull(events, "events is null");
        requireNonNull(backendFactory, "backendFactory is null");
        requireNonNull(quotas, "quotas is null");
        requireNonNull(meterRegistry, "meterRegistry is null");
        requireNonNull(promotionContext, "promotionContext is null");
        return new Proxy(
                clock, executor, events, backendFactory, quotas, meterRegistry, promotionContext);
    }

    /**
     * Applies a configuration.
     *
     * @param next the configuration that replaces the current one
     */
    public void apply(Configuration next) {
        Configuration previous = configuration;
        next.groups().values().forEach(this::startGroup);
        configuration = next;
        next.requestedPrimaries()
                .forEach((group, primary) -> switchPrimaryIfNew(previous, group, primary));
        next.groups().values().forEach(spec -> setDraining(spec, next));
        events.record(
                EventCode.CONFIGURATION_APPLIED,
                EventScope.empty(),
                next.documents().size() + " documents, " + next.groups().size() + " groups");
    }

    /**
     * Returns a group that this proxy serves.
     *
     * @param id the id of the group
     * @return the group, or empty if it is not configured
     */
    public Optional<Group> group(GroupId id) {
        return Optional.ofNullable(groups.get(id));
    }

    /**
     * Returns all groups that this proxy serves.
     *
     * @return the groups, sorted by id
     */
    public List<Group> groups() {
        return groups.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(Map.Entry::getValue)
                .toList();
    }

    /**
     * Returns the highest usage of slots and of connections among the instances of a group.
     *
     * @param spec the group
     * @return the largest number of slots and the largest number of connections in use at one
     *     instance
     */
    public Quota maxUsage(GroupSpec spec) {
        Optional<Group> group = group(spec.id());
        return spec.instances().stream()
                .flatMap(instance -> group.map(g -> g.pool(instance.id())).stream())
                .map(InstancePool::usage)
                .reduce(new Quota(0, 0), Proxy::max);
    }

    /**
     * Returns the number of open transactions.
     *
     * @return the number; the stage completes on the executor
     */
    public CompletionStage<Integer> openTransactionCount() {
        return CompletableFuture.supplyAsync(transactions::openCount, executor);
    }

    @Override
    public RequestPolicy policy(ServiceName service, RequestClass requestClass) {
        TeamDocument document = configuration.documents().get(service);
        if (document == null) {
            throw CodedException.of(
                    ErrorCode.UNKNOWN_SERVICE, "no document is stored for service " + service);
        }
        return document.policy(requestClass, clock.instant())
                .orElseThrow(
                        () ->
                                CodedException.of(
                                        ErrorCode.UNKNOWN_CLASS,
                                        "unknown request class: " + requestClass));
    }

    @Override
    public long deadlineNanos(Duration patience) {
        return clock.nanoTime() + patience.toNanos();
    }

    @Override
    public CompletionStage<Outcome> run(StatementRequest request) {
        Group group = requireGroup(request.group());
        return runOnExecutor(() -> runner.run(group, request));
    }

    @Override
    public CompletionStage<Outcome> lookUpOutcome(
            ServiceName service, GroupId id, IdempotencyKey key) {
        Group group = requireGroup(id);
        StatementRequest request =
                StatementRequest.lookUp(
                        service, id, LOOK_UP_POLICY, key, deadlineNanos(LOOK_UP_POLICY.patience()));
        return runOnExecutor(
                () -> runner.resolveOutcome(group, request, group.view().highestTerm()));
    }

    @Override
    public CompletionStage<BeginResult> beginTransaction(
            ServiceName service, GroupId id, RequestPolicy policy) {
        Group group = requireGroup(id);
        return runOnExecutor(() -> transactions.begin(group, service, policy));
    }

    @Override
    public CompletionStage<Outcome> withTransactions(
            Function<TransactionRegistry, CompletionStage<Outcome>> operation) {
        return runOnExecutor(() -> operation.apply(transactions));
    }

    @Override
    public void close() {
        groups.values().forEach(Group::close);
    }

    private static Quota max(Quota first, Quota second) {
        return new Quota(
                Math.max(first.slots(), second.slots()),
                Math.max(first.connections(), second.connections()));
    }

    private Group requireGroup(GroupId id) {
        return group(id)
                .orElseThrow(
                        () -> CodedException.of(ErrorCode.UNKNOWN_GROUP, "unknown group: " + id));
    }

    private <T> CompletionStage<T> runOnExecutor(Supplier<CompletionStage<T>> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        boolean accepted = executor.offer(() -> task.get().thenAccept(result::complete));
        if (!accepted) {
            throw CodedException.of(ErrorCode.OVERLOADED, "too many statements are waiting");
        }
        return result;
    }

    private void startGroup(GroupSpec spec) {
        Group current = groups.get(spec.id());
        if (current != null && current.view().spec().equals(spec)) {
            return;
        }
        Function<Backend, InstancePool> poolFactory = backend -> createPool(spec, backend);
        groups.put(
                spec.id(),
                Group.of(spec, backendFactory, poolFactory, promotionContext, clock, executor));
        Optional.ofNullable(current).ifPresent(Group::close);
    }

    /**
     * Switches the primary if the request is new. A request that is already there when this process
     * first loads the group was addressed to the processes that ran before.
     */
    private void switchPrimaryIfNew(Configuration previous, GroupId group, InstanceId primary) {
        boolean isNew =
                previous.groups().containsKey(group)
                        && !primary.equals(previous.requestedPrimaries().get(group));
        if (isNew) {
            group(group).ifPresent(g -> g.switchPrimaryIfFirstRanked(primary));
        }
    }

    private void setDraining(GroupSpec spec, Configuration next) {
        Set<InstanceId> draining =
                spec.instances().stream()
                        .map(InstanceSpec::id)
                        .filter(id -> next.isDraining(spec.id(), id))
                        .collect(Collectors.toSet());
        groups.get(spec.id()).setDraining(draining);
    }

    private InstancePool createPool(GroupSpec spec, Backend backend) {
        PoolMetrics metrics = PoolMetrics.of(meterRegistry, spec.id(), backend.spec().id());
        PoolContext poolContext =
                new PoolContext(spec.id(), clock, executor, events, metrics, retryBudgets, random);
        return InstancePool.of(backend, () -> quotas.apply(spec), poolContext);
    }
}
