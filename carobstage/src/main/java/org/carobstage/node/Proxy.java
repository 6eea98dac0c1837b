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

/** The decisions of an entry VM's process, without its servers: tests run it on a paused clock. */
public final class Proxy implements AutoCloseable, StatementService {
    private static final RequestPolicy LOOK_UP_POLICY =
            new RequestPolicy(Access.WRITE, Duration.ZERO, false, Duration.ofMillis(300));

    private final Clock clock;
    private final BoundedExecutor duty;
    private final EventLog events;
    private final Function<InstanceSpec, Backend> connect;
    private final Function<GroupSpec, Quota> shares;
    private final PromotionContext promotion;
    private final StatementRunner runner;
    private final MeterRegistry meters;
    private final RetryBudgetRegistry budgets;
    private final RandomGenerator random;
    private final TransactionRegistry transactions;
    private final Map<GroupId, Group> groups = new ConcurrentHashMap<>();
    private volatile Configuration configuration = Configuration.empty();

    private Proxy(
            Clock clock,
            BoundedExecutor duty,
            EventLog events,
            Function<InstanceSpec, Backend> connect,
            Function<GroupSpec, Quota> shares,
            MeterRegistry meters,
            PromotionContext promotion) {
        this.meters = meters;
        this.budgets = RetryBudgetRegistry.of(clock);
        this.random = new SplittableRandom(clock.nanoTime());
        this.clock = clock;
        this.duty = duty;
        this.events = events;
        this.connect = connect;
        this.shares = shares;
        this.promotion = promotion;
        IdempotencyKeyFactory keys =
                IdempotencyKeyFactory.of(events.vm() + "/" + clock.instant().toEpochMilli());
        this.runner = StatementRunner.of(clock, duty, keys);
        this.transactions = TransactionRegistry.of(events.vm(), clock, duty, events, runner, keys);
    }

    /**
     * Creates a proxy without configuration.
     *
     * @param clock the runtime's clock
     * @param duty runs the decisions one at a time
     * @param events records what is decided
     * @param connect creates the client of an instance
     * @param shares this process's part of the limits of a group's instances, asked each time
     * @return the proxy
     */
    public static Proxy of(
            Clock clock,
            BoundedExecutor duty,
            EventLog events,
            Function<InstanceSpec, Backend> connect,
            Function<GroupSpec, Quota> shares) {
        return of(
                clock,
                duty,
                events,
                connect,
                shares,
                new SimpleMeterRegistry(),
                PromotionContext.of(events));
    }

    /**
     * Creates a proxy without configuration that orders promotions together with others.
     *
     * @param clock the runtime's clock
     * @param duty runs the decisions one at a time
     * @param events records what is decided
     * @param connect creates the client of an instance
     * @param shares this process's part of the limits of a group's instances, asked each time
     * @param meters keeps the meters
     * @param promotion what promotions need
     * @return the proxy
     */
    public static Proxy of(
            Clock clock,
            BoundedExecutor duty,
            EventLog events,
            Function<InstanceSpec, Backend> connect,
            Function<GroupSpec, Quota> shares,
            MeterRegistry meters,
            PromotionContext promotion) {
        requireNonNull(clock, "clock is null");
        requireNonNull(duty, "duty is null");
        requireNonNull(events, "events is null");
        requireNonNull(connect, "connect is null");
        requireNonNull(shares, "shares is null");
        requireNonNull(meters, "meters is null");
        requireNonNull(promotion, "promotion is null");
        return new Proxy(clock, duty, events, connect, shares, meters, promotion);
    }

    /**
     * Puts a configuration in force.
     *
     * @param next the configuration
     */
    public void apply(Configuration next) {
        Configuration before = configuration;
        next.groups().values().forEach(this::startGroup);
        configuration = next;
        next.requestedPrimaries().forEach((group, primary) -> order(before, group, primary));
        next.groups().values().forEach(spec -> drain(spec, next));
        events.record(
                EventCode.CONFIGURATION_APPLIED,
                EventScope.empty(),
                next.documents().size() + " documents, " + next.groups().size() + " groups");
    }

    /**
     * Returns a group that is served here.
     *
     * @param id the group
     * @return the group, or empty if it is not configured
     */
    public Optional<Group> group(GroupId id) {
        return Optional.ofNullable(groups.get(id));
    }

    /**
     * Returns all groups that are served here.
     *
     * @return the groups in the order of their ids
     */
    public List<Group> groups() {
        return groups.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(Map.Entry::getValue)
                .toList();
    }

    /**
     * Returns what is in use of a group's limits at its busiest instance.
     *
     * @param spec the group
     * @return the slots and connections in use
     */
    public Quota maxUsage(GroupSpec spec) {
        Optional<Group> group = group(spec.id());
        return spec.instances().stream()
                .flatMap(i -> group.map(g -> g.pool(i.id())).stream())
                .map(InstancePool::usage)
                .reduce(new Quota(0, 0), Proxy::larger);
    }

    /**
     * Returns how many transactions are open.
     *
     * @return a stage with the number
     */
    public CompletionStage<Integer> openTransactionCount() {
        return CompletableFuture.supplyAsync(transactions::openCount, duty);
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
    public long deadlineNanos(Duration patience) {
        return clock.nanoTime() + patience.toNanos();
    }

    @Override
    public CompletionStage<Outcome> run(StatementRequest request) {
        Group group = required(request.group());
        return onDuty(() -> runner.run(group, request));
    }

    @Override
    public CompletionStage<Outcome> lookUpOutcome(
            ServiceName service, GroupId id, IdempotencyKey key) {
        Group group = required(id);
        StatementRequest request =
                StatementRequest.lookUp(
                        service, id, LOOK_UP_POLICY, key, deadlineNanos(LOOK_UP_POLICY.patience()));
        return onDuty(() -> runner.resolveOutcome(group, request, group.view().highestTerm()));
    }

    @Override
    public CompletionStage<BeginResult> beginTransaction(
            ServiceName service, GroupId id, RequestPolicy policy) {
        Group group = required(id);
        return onDuty(() -> transactions.begin(group, service, policy));
    }

    @Override
    public CompletionStage<Outcome> withTransactions(
            Function<TransactionRegistry, CompletionStage<Outcome>> step) {
        return onDuty(() -> step.apply(transactions));
    }

    @Override
    public void close() {
        groups.values().forEach(Group::close);
    }

    private static Quota larger(Quota one, Quota other) {
        return new Quota(
                Math.max(one.slots(), other.slots()),
                Math.max(one.connections(), other.connections()));
    }

    private Group required(GroupId id) {
        return group(id)
                .orElseThrow(() -> CodedException.of(ErrorCode.UNKNOWN_GROUP, "no group " + id));
    }

    private <T> CompletionStage<T> onDuty(Supplier<CompletionStage<T>> work) {
        CompletableFuture<T> result = new CompletableFuture<>();
        boolean taken = duty.offer(() -> work.get().thenAccept(result::complete));
        if (!taken) {
            throw CodedException.of(ErrorCode.OVERLOADED, "too many statements wait");
        }
        return result;
    }

    private void startGroup(GroupSpec spec) {
        Group current = groups.get(spec.id());
        if (current != null && current.view().spec().equals(spec)) {
            return;
        }
        Function<Backend, InstancePool> pool = backend -> pool(spec, backend);
        groups.put(spec.id(), Group.of(spec, connect, pool, promotion, clock, duty));
        Optional.ofNullable(current).ifPresent(Group::close);
    }

    /** Carries out an order that is new; those found at the start were given to others. */
    private void order(Configuration before, GroupId group, InstanceId primary) {
        boolean isNew =
                before.groups().containsKey(group)
                        && !primary.equals(before.requestedPrimaries().get(group));
        if (isNew) {
            group(group).ifPresent(g -> g.switchPrimaryIfFirstRanked(primary));
        }
    }

    private void drain(GroupSpec spec, Configuration next) {
        Set<InstanceId> leaving =
                spec.instances().stream()
                        .map(InstanceSpec::id)
                        .filter(id -> next.isDraining(spec.id(), id))
                        .collect(Collectors.toSet());
        groups.get(spec.id()).setDraining(leaving);
    }

    private InstancePool pool(GroupSpec spec, Backend backend) {
        PoolMetrics metrics = PoolMetrics.of(meters, spec.id(), backend.spec().id());
        PoolContext runtime =
                new PoolContext(spec.id(), clock, duty, events, metrics, budgets, random);
        return InstancePool.of(backend, () -> shares.apply(spec), runtime);
    }
}
