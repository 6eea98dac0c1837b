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

/** One database group: its clients, its pools and the view of it. State changes on its duty. */
public final class Group implements AutoCloseable {
    private final Map<InstanceId, Backend> backends = new LinkedHashMap<>();
    private final Map<InstanceId, InstancePool> pools = new LinkedHashMap<>();
    private final QuorumConfirmer quorumConfirmer;
    private final PromotionController keeper;
    private final Map<Object, Runnable> waiting = new LinkedHashMap<>();
    private final ProposerRanking rank;
    private final Executor duty;
    private Term primaryTerm = Term.ZERO;
    private volatile Set<InstanceId> drained = Set.of();
    private volatile GroupView view;

    private Group(
            GroupSpec spec,
            Function<InstanceSpec, Backend> connect,
            Function<Backend, InstancePool> pool,
            PromotionContext setup,
            Clock clock,
            Executor duty) {
        this.view = GroupView.of(spec);
        this.rank = setup.proposerRanking();
        this.duty = duty;
        for (InstanceSpec instance : spec.instances()) {
            Backend backend = connect.apply(instance);
            backends.put(instance.id(), backend);
            pools.put(instance.id(), pool.apply(backend));
        }
        this.quorumConfirmer = QuorumConfirmer.of(backends.values(), clock, duty, this::updateView);
        this.keeper =
                new PromotionController(this, backends, this::isPrimaryAwaited, setup, clock, duty);
    }

    /**
     * Creates a group and starts to watch its instances.
     *
     * @param spec the group
     * @param connect creates the client of an instance
     * @param pool creates the pool of an instance
     * @param setup what promotions need
     * @param clock the runtime's clock
     * @param duty runs the group's decisions one at a time
     * @return the group
     */
    public static Group of(
            GroupSpec spec,
            Function<InstanceSpec, Backend> connect,
            Function<Backend, InstancePool> pool,
            PromotionContext setup,
            Clock clock,
            Executor duty) {
        requireNonNull(spec, "spec is null");
        Group group = new Group(spec, connect, pool, setup, clock, duty);
        group.keeper.start();
        return group;
    }

    /**
     * Returns what is known of the group.
     *
     * @return the view
     */
    public GroupView view() {
        return view;
    }

    /**
     * Returns the pool of an instance.
     *
     * @param instance the instance
     * @return its pool
     */
    public InstancePool pool(InstanceId instance) {
        return pools.get(instance);
    }

    /**
     * Returns the confirmation of the group.
     *
     * @return the confirmation
     */
    public QuorumConfirmer quorumConfirmer() {
        return quorumConfirmer;
    }

    /**
     * Takes a standing in that came with an answer.
     *
     * @param standing the standing
     * @param nanos when the request was sent, in ns of the runtime's clock
     */
    public void observe(ReplicationStatus standing, long nanos) {
        keeper.recordActivity();
        updateView(standing, nanos);
    }

    /**
     * Replaces a primary that serves by another instance, once that has caught up.
     *
     * @param next the instance that shall be primary
     * @return true once it is, false if it could not be done; nothing has changed then, or another
     *     instance was ahead and became primary
     */
    public CompletionStage<Boolean> switchPrimary(InstanceId next) {
        requireNonNull(next, "next is null");
        return keeper.switchPrimary(next);
    }

    @Override
    public void close() {
        keeper.close();
        pools.values().forEach(InstancePool::close);
        backends.values().forEach(Backend::close);
    }

    /**
     * Calls back once when a primary of a higher term is seen, so that nobody waits for one that
     * has been replaced.
     *
     * @param callback called on the duty
     * @return forgets the callback
     */
    public Runnable onPrimaryReplaced(Runnable callback) {
        requireNonNull(callback, "callback is null");
        Object handle = new Object();
        waiting.put(handle, callback);
        return () -> waiting.remove(handle);
    }

    /**
     * Names the instances that are leaving: they get no new reads, and a primary among them is
     * replaced.
     *
     * @param leaving the instances
     */
    public void setDraining(Set<InstanceId> leaving) {
        Set<InstanceId> copy = Set.copyOf(leaving);
        duty.execute(() -> applyDrain(copy));
    }

    /**
     * Tells whether an instance is leaving.
     *
     * @param instance the instance
     * @return true if it gets no new reads
     */
    public boolean isDraining(InstanceId instance) {
        return drained.contains(instance);
    }

    /**
     * Makes an instance primary as an operator ordered; of all entry VMs only the first in rank
     * acts.
     *
     * @param next the instance
     */
    public void switchPrimaryIfFirstRanked(InstanceId next) {
        duty.execute(() -> primaryToReplace().ifPresent(primary -> keeper.switchPrimary(next)));
    }

    private void applyDrain(Set<InstanceId> leaving) {
        drained = leaving;
        primaryToReplace()
                .filter(primary -> leaving.contains(primary.instance()))
                .flatMap(primary -> successor())
                .ifPresent(keeper::switchPrimary);
    }

    private Optional<ReplicationStatus> primaryToReplace() {
        return view.primary()
                .filter(primary -> rank.rank(view.spec().id(), primary.promisedTerm()) == 0);
    }

    /** Returns the furthest replica that stays. */
    private Optional<InstanceId> successor() {
        return view.observations().values().stream()
                .map(GroupView.Observation::status)
                .filter(s -> !s.isPrimary() && !isDraining(s.instance()))
                .max(Comparator.comparing(ReplicationStatus::lastPosition))
                .map(ReplicationStatus::instance);
    }

    void updateView(ReplicationStatus standing, long nanos) {
        view = view.withObservation(standing, nanos);
        if (standing.isPrimary() && standing.promisedTerm().isAfter(primaryTerm)) {
            primaryTerm = standing.promisedTerm();
            List<Runnable> callbacks = List.copyOf(waiting.values());
            waiting.clear();
            callbacks.forEach(Runnable::run);
        }
    }

    private boolean isPrimaryAwaited() {
        return view.primary()
                .filter(primary -> pools.get(primary.instance()).outstandingCount() > 0)
                .isPresent();
    }
}
