package org.carobstage.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.carobstage.discovery.InstanceEntry;
import org.carobstage.failover.PromotionClient;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.model.Term;
import org.carobstage.model.VmId;
import org.carobstage.runtime.Clock;
import org.carobstage.upstream.InstanceConnector;

/** The instances of one service: a primary, its replicas, their logs and faults. */
public final class FakeService {
    public static final ServiceName NAME = ServiceName.of("forms");

    private static final Duration PROMOTE = Duration.ofMillis(1_000);
    private static final Duration OPEN = Duration.ofMillis(12);

    final Clock clock;
    private final Map<InstanceId, FakeInstance> instances = new TreeMap<>();
    private final List<String> receivedPromotionRequests = new ArrayList<>();
    private long fence;
    private boolean dropPromotionResponses;

    private FakeService(Clock clock) {
        this.clock = clock;
    }

    /** Creates a service of three instances a, b and c; a leads term 1. */
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

    /** Orders as they arrived: target and fence. */
    public List<String> receivedPromotionRequests() {
        return receivedPromotionRequests;
    }

    public void dropPromotionResponses(boolean lose) {
        dropPromotionResponses = lose;
    }

    /** Connects as a VM does that reaches every instance that isn't dark. */
    public InstanceConnector connector() {
        return connector(id -> true);
    }

    public InstanceConnector connector(java.util.function.Predicate<InstanceId> reaches) {
        return (target, timeout, listener) -> {
            FakeInstance instance = instances.get(target.id());
            if (instance == null || instance.isUnresponsive() || !reaches.test(target.id())) {
                clock.schedule(
                        () -> listener.onOpenFailed(InstanceConnector.OpenFailure.NO_ANSWER),
                        timeout);
            } else if (instance.isDown()) {
                clock.schedule(
                        () -> listener.onOpenFailed(InstanceConnector.OpenFailure.RESET),
                        Duration.ofMillis(1));
            } else {
                clock.schedule(() -> instance.connect(listener, reaches), OPEN);
            }
        };
    }

    public PromotionClient promotionClient() {
        return this::promote;
    }

    private void promote(
            ServiceName service,
            InstanceId target,
            VmId holder,
            long token,
            Consumer<PromotionClient.Outcome> then) {
        receivedPromotionRequests.add(target + " " + token);
        if (token < fence || instances.get(target).isDown()) {
            clock.schedule(
                    () -> then.accept(PromotionClient.Outcome.REJECTED), Duration.ofMillis(2));
            return;
        }
        fence = token;
        clock.schedule(() -> takeOver(target), PROMOTE);
        PromotionClient.Outcome outcome =
                dropPromotionResponses
                        ? PromotionClient.Outcome.UNKNOWN
                        : PromotionClient.Outcome.ACCEPTED;
        clock.schedule(() -> then.accept(outcome), Duration.ofMillis(5));
    }

    private void takeOver(InstanceId target) {
        FakeInstance next = instances.get(target);
        if (next.isPrimary()) {
            return;
        }
        Term term =
                instances.values().stream()
                        .map(FakeInstance::term)
                        .reduce(Term.ZERO, (a, b) -> a.isAfter(b) ? a : b)
                        .next();
        instances.values().forEach(i -> i.follow(next, term));
        next.becomePrimary(term);
    }

    /** Gives a commit its position and sends it to the replicas that receive. */
    LogPosition commit(FakeInstance primary) {
        LogPosition position =
                LogPosition.of(primary.term().number(), primary.receivedPosition().offset() + 1);
        primary.receive(position);
        instances.values().stream()
                .filter(i -> i != primary && i.isReceivingReplication())
                .forEach(i -> i.receive(position));
        return position;
    }

    boolean hasReceivingReplica(FakeInstance primary) {
        return instances.values().stream()
                .anyMatch(i -> i != primary && i.isReceivingReplication());
    }

    static InstanceEntry toInstanceEntry(FakeInstance i, boolean draining) {
        return new InstanceEntry(
                i.id(),
                NAME,
                Address.of("127.0.0.1", 1 + Math.abs(i.id().hashCode() % 1_000)),
                FailureDomain.of(i.domain()),
                3,
                draining,
                i.isPrimary(),
                0);
    }
}
