package org.carobstage.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.failover.PromotionClient;
import org.carobstage.failover.PromotionRequest;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.model.Term;
import org.carobstage.model.VmId;
import org.carobstage.runtime.Clock;
import org.carobstage.upstream.InstanceConnector;

/** An in-memory service: a primary, its replicas, their log positions and injected faults. */
public final class FakeService {
    public static final ServiceName NAME = ServiceName.of("forms");

    private static final Duration PROMOTION_DURATION = Duration.ofMillis(1_000);
    private static final Duration PROMOTION_TIMEOUT = Duration.ofMillis(1_000);
    private static final Duration CONNECT_DURATION = Duration.ofMillis(12);

    final Clock clock;
    private final Map<InstanceId, FakeInstance> instances = new TreeMap<>();
    private final List<String> receivedPromotionRequests = new ArrayList<>();
    private long highestFencingToken;
    private long highestReceivedToken;
    private boolean droppingPromotionResponses;
    private boolean keepingFormerPrimary;
    private boolean ignoringFencingTokens;
    private boolean countingReceivableOnly;
    private Duration promotionDelay = Duration.ZERO;
    private Predicate<VmId> refusedHolder = holder -> false;
    private Runnable roleListener = () -> {};
    private LogPosition newestAcknowledged = LogPosition.empty();
    private final Map<Long, VmId> holders = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    private FakeService(Clock clock) {
        this.clock = clock;
    }

    /** Creates a service of the instances a, b and c, with a as the primary of term 1. */
    public static FakeService of(Clock clock) {
        FakeService service = new FakeService(clock);
        List.of("a", "b", "c").forEach(id -> service.addInstance(id, "domain-" + id));
        service.instance("a").becomePrimary(Term.of(1));
        return service;
    }

    public FakeInstance addInstance(String id, String domain) {
        FakeInstance instance = new FakeInstance(this, InstanceId.of(id), domain);
        instances.put(instance.id(), instance);
        return instance;
    }

    public FakeInstance instance(String id) {
        return instances.get(InstanceId.of(id));
    }

    public List<FakeInstance> instances() {
        return List.copyOf(instances.values());
    }

    public Optional<FakeInstance> primary() {
        return instances.values().stream().filter(FakeInstance::isPrimary).findFirst();
    }

    public InstanceEntry instanceEntry(String id) {
        return instance(id).instanceEntry();
    }

    /** Returns the received promotion requests in order, each as target and fencing token. */
    public List<String> receivedPromotionRequests() {
        return receivedPromotionRequests;
    }

    public void dropPromotionResponses(boolean drop) {
        droppingPromotionResponses = drop;
    }

    /** Lets a primary that is replaced believe that it still leads, until it steps down. */
    public void keepFormerPrimary(boolean keep) {
        keepingFormerPrimary = keep;
    }

    /** Refuses the promotion requests of some holders, as a platform that is too busy. */
    public void refusePromotionsOf(Predicate<VmId> holder) {
        refusedHolder = holder;
    }

    /**
     * Accepts promotion requests whatever their fencing tokens are. A token below one that was
     * received before is then a violation.
     */
    public void ignoreFencingTokens(boolean ignore) {
        ignoringFencingTokens = ignore;
    }

    /**
     * Counts a commit as acknowledged only if its response can be received, that is, if no process
     * has reset its connection. By default every commit that a replica has confirmed counts.
     */
    public void countReceivableAcknowledgementsOnly() {
        countingReceivableOnly = true;
    }

    /** Sets what happens when a promotion has changed the roles of the instances. */
    public void onRolesChanged(Runnable listener) {
        roleListener = listener;
    }

    /** Delays the promotion requests that are sent from now on; their fences are checked then. */
    public void delayPromotions(Duration delay) {
        promotionDelay = delay;
    }

    /**
     * Returns the acknowledged commits that a promotion lost, tokens used by two holders, and lower
     * tokens after higher ones.
     */
    public List<String> violations() {
        return violations;
    }

    void onCommitAcknowledged(LogPosition position, boolean receivable) {
        if (receivable || !countingReceivableOnly) {
            newestAcknowledged = newestAcknowledged.max(position);
        }
    }

    /** Completes a promotion at once. */
    public void promote(String id) {
        completePromotion(InstanceId.of(id));
    }

    /** Returns the connector of a VM that reaches every responsive instance. */
    public InstanceConnector connector() {
        return connector(id -> true, MessageFilter.NONE);
    }

    public InstanceConnector connector(Predicate<InstanceId> reachable, MessageFilter filter) {
        return (target, account, timeout, listener) -> {
            FakeInstance instance = instances.get(target.id());
            if (instance == null || instance.isUnresponsive() || !reachable.test(target.id())) {
                clock.schedule(
                        () -> listener.onOpenFailed(InstanceConnector.OpenFailure.NO_ANSWER),
                        timeout);
            } else if (instance.isCrashed()) {
                clock.schedule(
                        () -> listener.onOpenFailed(InstanceConnector.OpenFailure.RESET),
                        Duration.ofMillis(1));
            } else {
                clock.schedule(
                        () -> instance.connect(listener, account, reachable, filter),
                        CONNECT_DURATION);
            }
        };
    }

    /** Returns the client of a process, which sends nothing once the filter loses its requests. */
    public PromotionClient promotionClient(MessageFilter filter) {
        return (request, callback) -> {
            if (request.permit().timeLeft().isZero()) {
                callback.accept(PromotionClient.Outcome.NOT_SENT);
            } else {
                send(
                        request,
                        fateOfPromotion(filter.fateOf("PROMOTE " + request.target())),
                        callback);
            }
        };
    }

    private MessageFilter.Fate fateOfPromotion(MessageFilter.Fate fate) {
        return new MessageFilter.Fate(
                fate.executed(),
                fate.delay().plus(promotionDelay),
                fate.answered() && !droppingPromotionResponses,
                fate.transit());
    }

    /** A request that is held up does not arrive if its sender has reset the connection before. */
    private void send(
            PromotionRequest request,
            MessageFilter.Fate fate,
            Consumer<PromotionClient.Outcome> callback) {
        receivedPromotionRequests.add(request.target() + " " + request.fencingToken());
        if (fate.transit().isZero()) {
            receive(request, fate, callback);
            return;
        }
        clock.schedule(
                () -> {
                    if (!request.permit().timeLeft().isZero()) {
                        receive(request, fate, outcome -> {});
                    }
                },
                fate.transit());
        clock.schedule(() -> callback.accept(PromotionClient.Outcome.UNKNOWN), PROMOTION_TIMEOUT);
    }

    private void receive(
            PromotionRequest request,
            MessageFilter.Fate fate,
            Consumer<PromotionClient.Outcome> callback) {
        InstanceId target = request.target();
        VmId holder = request.holder();
        long token = request.fencingToken();
        if (!holders.computeIfAbsent(token, t -> holder).equals(holder)) {
            violations.add("token " + token + " was used by two holders");
        }
        if (ignoringFencingTokens && fate.isReceived() && token < highestReceivedToken) {
            violations.add("token " + token + " came after " + highestReceivedToken);
        }
        highestReceivedToken = Math.max(highestReceivedToken, fate.isReceived() ? token : 0);
        if (refusedHolder.test(holder)) {
            clock.schedule(
                    () -> callback.accept(PromotionClient.Outcome.REFUSED), Duration.ofMillis(5));
            return;
        }
        if (fate.answered()) {
            PromotionClient.Outcome outcome = promote(target, token);
            clock.schedule(() -> callback.accept(outcome), Duration.ofMillis(5));
            return;
        }
        if (fate.executed()) {
            clock.schedule(() -> promote(target, token), fate.delay());
        }
        clock.schedule(() -> callback.accept(PromotionClient.Outcome.UNKNOWN), PROMOTION_TIMEOUT);
    }

    private PromotionClient.Outcome promote(InstanceId target, long fencingToken) {
        boolean outdated = !ignoringFencingTokens && fencingToken < highestFencingToken;
        if (outdated || instances.get(target).isCrashed()) {
            return PromotionClient.Outcome.REJECTED;
        }
        highestFencingToken = Math.max(highestFencingToken, fencingToken);
        clock.schedule(() -> completePromotion(target), PROMOTION_DURATION);
        return PromotionClient.Outcome.ACCEPTED;
    }

    private void completePromotion(InstanceId target) {
        FakeInstance newPrimary = instances.get(target);
        if (newPrimary.isPrimary() || newPrimary.isCrashed()) {
            return;
        }
        if (!newPrimary.receivedPosition().isAtLeast(newestAcknowledged)) {
            violations.add(
                    newestAcknowledged
                            + " was acknowledged, "
                            + target
                            + " has only "
                            + newPrimary.receivedPosition());
        }
        Term term =
                instances.values().stream()
                        .map(FakeInstance::term)
                        .reduce(Term.ZERO, (a, b) -> a.isAfter(b) ? a : b)
                        .next();
        instances.values().stream()
                .filter(instance -> !keepingFormerPrimary || !instance.isPrimary())
                .forEach(instance -> instance.follow(newPrimary, term));
        newPrimary.becomePrimary(term);
        replicate(newPrimary);
        roleListener.run();
    }

    /** Makes a replica of a primary whose term is over. */
    void stepDown(FakeInstance instance, Term term) {
        boolean outdated = instance.isPrimary() && term.isAfter(instance.term());
        if (outdated && !instance.isIgnoringStepDown()) {
            instance.demote(term);
        }
    }

    /** Assigns a log position to a commit. */
    LogPosition commit(FakeInstance primary) {
        LogPosition position =
                LogPosition.of(primary.term().number(), primary.receivedPosition().offset() + 1);
        primary.receive(position);
        return position;
    }

    /** Sends the log of a primary to its replicas. */
    void replicate(FakeInstance primary) {
        instances.values().forEach(replica -> replicate(primary, replica));
    }

    /** Sends a replica that receives again what it has missed. */
    void catchUp(FakeInstance replica) {
        instances.values().stream()
                .filter(FakeInstance::isServingAsPrimary)
                .forEach(primary -> replicate(primary, replica));
    }

    /** Returns the newest position that a replica of a primary has received. */
    LogPosition newestReceived(FakeInstance primary) {
        return instances.values().stream()
                .filter(i -> !i.isPrimary() && !i.term().isAfter(primary.term()))
                .map(FakeInstance::receivedPosition)
                .reduce(LogPosition.empty(), LogPosition::max);
    }

    private void replicate(FakeInstance primary, FakeInstance replica) {
        LogPosition position = primary.receivedPosition();
        if (replica.replicationDelay().isZero()) {
            deliver(primary, replica, position);
        } else {
            clock.schedule(() -> deliver(primary, replica, position), replica.replicationDelay());
        }
    }

    private void deliver(FakeInstance primary, FakeInstance replica, LogPosition position) {
        if (replica.isReceiving(position)) {
            replica.receive(position);
            primary.onReceived(position);
        }
    }

    static InstanceEntry toInstanceEntry(FakeInstance instance, boolean draining) {
        return new InstanceEntry(
                instance.id(),
                NAME,
                Address.of("127.0.0.1", 1 + Math.abs(instance.id().hashCode() % 1_000)),
                FailureDomain.of(instance.domain()),
                3,
                draining,
                instance.isPrimary(),
                0,
                0);
    }
}
