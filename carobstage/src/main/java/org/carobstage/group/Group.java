package org.carobstage.group;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.carobstage.acknowledge.QuorumConfirmer;
import org.carobstage.backend.Backend;
import org.carobstage.backend.ReplicationStatus;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.InstanceId;
import org.carobstage.model.InstanceSpec;
import org.carobstage.model.Term;
import org.carobstage.pool.InstancePool;
import org.carobstage.promotion.PromotionContext;
import org.carobstage.promotion.ProposerRanking;
import org.carobstage.runtime.Clock;

/**
 * A database group: the backend clients and connection pools of its instances, and its last known
 * state. State changes run on the group's executor.
 */
public final class Group implements AutoCloseable {
    private final Map<InstanceId, Backend> backends = new LinkedHashMap<>();
    private final Map<InstanceId, InstancePool> pools = new LinkedHashMap<>();
    private final QuorumConfirmer quorumConfirmer;
    private final PromotionController promotionController;
    private final Map<Object, Runnable> replacementCallbacks = new LinkedHashMap<>();
    private final ProposerRanking proposerRanking;
    private final Executor executor;
    private Term primaryTerm = Term.ZERO;
    private volatile Set<InstanceId> drainingInstances = Set.of();
    private volatile GroupView view;

    private Group(
            GroupSpec spec,
            Function<InstanceSpec, Backend> connectBackend,
            Function<Backend, InstancePool> createPool,
            PromotionContext promotionContext,
            Clock clock,
            Executor executor) {
        this.view = GroupView.of(spec);
        this.proposerRanking = promotionContext.proposerRanking();
        this.executor = executor;
        for (InstanceSpec instance : spec.instances()) {
            Backend backend = connectBackend.apply(instance);
            backends.put(instance.id(), backend);
            pools.put(instance.id(), createPool.apply(backend));
        }
        this.quorumConfirmer =
                QuorumConfirmer.of(backends.values(), clock, executor, this::updateView);
        this.promotionController =
                new PromotionController(
                        this,
                        backends,
                        this::hasOutstandingPrimaryRequests,
                        promotionContext,
                        clock,
                        executor);
    }

    /**
     * Creates a group and starts to monitor its instances.
     *
     * @param spec the specification of the group
     * @param connectBackend creates the backend client of an instance
     * @param createPool creates the connection pool of an instance
     * @param promotionContext the dependencies of promotions
     * @param clock the runtime's clock
     * @param executor runs the group's tasks one at a time
     * @return the group
     */
    public static Group of(
            GroupSpec spec,
            Function<InstanceSpec, Backend> connectBackend,
            Function<Backend, InstancePool> createPool,
            PromotionContext promotionContext,
            Clock clock,
            Executor executor) {
        requireNonNull(spec, "spec is null");
        Group group =
                new Group(spec, connectBackend, createPool, promotionContext, clock, executor);
        group.promotionController.start();
        return group;
    }

    /**
     * Returns the last known state of the group.
     *
     * @return the view
     */
    public GroupView view() {
        return view;
    }

    /**
     * Returns the connection pool of an instance.
     *
     * @param instance the instance
     * @return its connection pool
     */
    public InstancePool pool(InstanceId instance) {
        return pools.get(instance);
    }

    /**
     * Returns the quorum confirmer of the group.
     *
     * @return the quorum confirmer
     */
    public QuorumConfirmer quorumConfirmer() {
        return quorumConfirmer;
    }

    /**
     * Records a replication status that was part of a response to a statement.
     *
     * @param status the replication status
     * @param requestedAtNanos when the request was sent, in ns of the monotonic clock
     */
    public void recordResponseStatus(ReplicationStatus status, long requestedAtNanos) {
        promotionController.recordActivity();
        updateView(status, requestedAtNanos);
    }

    /**
     * Replaces a serving primary by another instance, once that instance has caught up.
     *
     * @param target the instance to promote
     * @return true once the instance is primary; false if the promotion failed, in which case the
     *     primary is unchanged or another instance with a longer log was promoted
     */
    public CompletionStage<Boolean> switchPrimary(InstanceId target) {
        requireNonNull(target, "target is null");
        return promotionController.switchPrimary(target);
    }

    @Override
    public void close() {
        promotionController.close();
        pools.values().forEach(InstancePool::close);
        backends.values().forEach(Backend::close);
    }

    /**
     * Registers a callback that runs once when a primary of a higher term is observed, so that
     * requests stop waiting for a replaced primary.
     *
     * @param callback the callback, run on the group's executor
     * @return an action that removes the callback
     */
    public Runnable onPrimaryReplaced(Runnable callback) {
        requireNonNull(callback, "callback is null");
        Object handle = new Object();
        replacementCallbacks.put(handle, callback);
        return () -> replacementCallbacks.remove(handle);
    }

    /**
     * Sets the draining instances. They receive no new reads, and a primary among them is replaced.
     *
     * @param instances the draining instances
     */
    public void setDraining(Set<InstanceId> instances) {
        Set<InstanceId> copy = Set.copyOf(instances);
        executor.execute(() -> applyDraining(copy));
    }

    /**
     * Returns whether an instance is draining.
     *
     * @param instance the instance
     * @return true if it receives no new reads
     */
    public boolean isDraining(InstanceId instance) {
        return drainingInstances.contains(instance);
    }

    /**
     * Promotes an instance on request of an operator, if this entry VM ranks first among the
     * proposers.
     *
     * @param target the instance to promote
     */
    public void switchPrimaryIfFirstRanked(InstanceId target) {
        executor.execute(
                () ->
                        primaryIfFirstRanked()
                                .ifPresent(primary -> promotionController.switchPrimary(target)));
    }

    private void applyDraining(Set<InstanceId> instances) {
        drainingInstances = instances;
        primaryIfFirstRanked()
                .filter(primary -> instances.contains(primary.instance()))
                .flatMap(primary -> selectSuccessor())
                .ifPresent(promotionController::switchPrimary);
    }

    private Optional<ReplicationStatus> primaryIfFirstRanked() {
        return view.primary()
                .filter(
                        primary ->
                                proposerRanking.rank(view.spec().id(), primary.promisedTerm())
                                        == 0);
    }

    /** Returns the replica with the longest log that is not draining. */
    private Optional<InstanceId> selectSuccessor() {
        return view.observations().values().stream()
                .map(GroupView.Observation::status)
                .filter(s -> !s.isPrimary() && !isDraining(s.instance()))
                .max(Comparator.comparing(ReplicationStatus::lastPosition))
                .map(ReplicationStatus::instance);
    }

    void updateView(ReplicationStatus status, long requestedAtNanos) {
        view = view.withObservation(status, requestedAtNanos);
        if (status.isPrimary() && status.promisedTerm().isAfter(primaryTerm)) {
            primaryTerm = status.promisedTerm();
            List<Runnable> callbacks = List.copyOf(replacementCallbacks.values());
            replacementCallbacks.clear();
            callbacks.forEach(Runnable::run);
        }
    }

    private boolean hasOutstandingPrimaryRequests() {
        return view.primary()
                .filter(primary -> pools.get(primary.instance()).outstandingCount() > 0)
                .isPresent();
    }
}
