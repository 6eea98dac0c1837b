package org.carobstage.failover;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.carobstage.event.EventCode;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.store.KeyReader;
import org.carobstage.store.LeaseId;
import org.carobstage.store.StoreEntry;
import org.carobstage.store.StoreResponse;
import org.carobstage.store.StoreRevision;
import org.carobstage.store.StoreWrite;
import org.carobstage.upstream.ServiceGroup;

/**
 * The vote of this process to replace the primary of a service. While the vote may be stored, no
 * writes are sent to that primary, since a failover relies on the acknowledged position in it.
 *
 * <p>The store may execute a write without a response seconds later. Each write therefore expects
 * the key's current revision, and a withdrawal replaces the value instead of deleting the key: a
 * vote that is executed after its withdrawal meets another revision and has no effect. If the store
 * rejects the revision, the key is read.
 */
final class ReplacementVote {
    /** The delay before a failed write is retried. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** Commits at a primary that responds end within this time. */
    private static final Duration DRAIN_TIMEOUT = Duration.ofMillis(200);

    private static final String WITHDRAWN = "withdrawn";

    private final FailoverContext context;
    private final Consumer<Optional<InstanceId>> fence;
    private final String key;
    private final String failoverLeaseKey;
    private Optional<LeasedVote> stored = Optional.empty();
    private Optional<InstanceId> primary = Optional.empty();
    private StoreRevision keyRevision = StoreRevision.NONE;
    private StoreRevision lastChange = StoreRevision.NONE;
    private Optional<Long> joinedNanos = Optional.empty();
    private boolean writePending;
    private boolean mayBeStored;
    private long nextWriteNanos;

    /**
     * Creates the vote, which is not cast.
     *
     * @param context the dependencies that failovers share
     * @param service the service
     * @param fence receives the primary that must be sent no writes, or empty
     */
    ReplacementVote(
            FailoverContext context, ServiceName service, Consumer<Optional<InstanceId>> fence) {
        this.context = context;
        this.fence = fence;
        this.key = FailoverKeys.vote(service, context.vm());
        this.failoverLeaseKey = FailoverKeys.lease(service);
        this.nextWriteNanos = context.clock().nanoTime();
    }

    /** Returns the primary that is sent no writes because the vote may be stored. */
    Optional<InstanceId> fencedPrimary() {
        return mayBeStored || joinedNanos.isPresent() ? primary : Optional.empty();
    }

    /**
     * Joins the replacement of a primary that responds to this process, but not to enough others:
     * stops sending it writes, and votes once the commits in flight have ended or, after a timeout,
     * their connections have been reset.
     *
     * @param group the service
     * @param replaced the primary
     * @param lease the lease of this process's membership; without it, nothing is written
     */
    void join(ServiceGroup group, InstanceId replaced, Optional<LeaseId> lease) {
        long nowNanos = context.clock().nanoTime();
        if (joinedNanos.isEmpty()) {
            joinedNanos = Optional.of(nowNanos);
            primary = Optional.of(replaced);
        }
        boolean drained =
                !group.pendingWrites().mayBeAcknowledged()
                        || nowNanos - joinedNanos.get() >= DRAIN_TIMEOUT.toNanos();
        if (drained) {
            group.pendingWrites().discardInFlight(replaced);
            vote(group, replaced, lease);
        }
        fence.accept(fencedPrimary());
    }

    /**
     * Votes to replace a primary that does not respond, and withdraws the vote when the primary
     * responds again. Once enough processes have voted, the connections with commits in flight are
     * reset: the primary would otherwise execute and acknowledge them if it responds again before
     * its successor is in place.
     *
     * @param group the service
     * @param suspected the primary, if it does not respond
     * @param agreed whether enough processes have voted to replace it
     * @param lease the lease of this process's membership; without it, nothing is written
     * @param failoverRunning whether a process holds the failover lease; the store then rejects
     *     withdrawals
     */
    void update(
            ServiceGroup group,
            Optional<InstanceId> suspected,
            boolean agreed,
            Optional<LeaseId> lease,
            boolean failoverRunning) {
        joinedNanos = Optional.empty();
        if (suspected.isPresent()) {
            suspected.filter(id -> agreed).ifPresent(group.pendingWrites()::discardInFlight);
            vote(group, suspected.get(), lease);
        } else if (mayBeStored && !failoverRunning && canWrite(lease)) {
            withdraw(group, lease.get());
        }
        fence.accept(fencedPrimary());
    }

    /** Applies a change of the vote's key, which an earlier run on this VM may have written. */
    void onStoreChange(StoreEntry entry) {
        boolean outdated = entry.revision().compareTo(lastChange) < 0;
        observe(entry.revision(), entry.value().isPresent());
        if (writePending || outdated) {
            return;
        }
        Optional<Vote> vote = entry.value().flatMap(Vote::parse);
        if (vote.isEmpty()) {
            stored = Optional.empty();
            mayBeStored &= entry.value().isEmpty();
        } else if (stored.isEmpty()) {
            mayBeStored = true;
            primary = Optional.of(vote.get().primary());
        }
        fence.accept(fencedPrimary());
    }

    /** Discards the stored vote, which a restored store may have lost. */
    void onStoreRestored() {
        stored = Optional.empty();
    }

    private boolean canWrite(Optional<LeaseId> lease) {
        return !writePending
                && lease.isPresent()
                && context.clock().nanoTime() - nextWriteNanos >= 0;
    }

    private void vote(ServiceGroup group, InstanceId replaced, Optional<LeaseId> lease) {
        if (canWrite(lease)) {
            Optional<LogPosition> position =
                    Optional.of(group.lastAcknowledgedPosition())
                            .filter(p -> !group.pendingWrites().mayBeAcknowledged());
            boolean writesEnded = !group.pendingWrites().areInFlight(replaced);
            cast(group, new LeasedVote(new Vote(replaced, position, writesEnded), lease.get()));
        }
    }

    private void cast(ServiceGroup group, LeasedVote leasedVote) {
        if (stored.equals(Optional.of(leasedVote))) {
            return;
        }
        boolean alreadyStored = mayBeStored;
        mayBeStored = true;
        primary = Optional.of(leasedVote.vote().primary());
        String text = leasedVote.vote().format();
        context.record(EventCode.REPLACEMENT_VOTE, group.name(), text);
        StoreWrite write = StoreWrite.put(key, text, leasedVote.lease()).onlyIf(key, keyRevision);
        write(
                write,
                response -> {
                    if (response instanceof StoreResponse.Refused<StoreRevision>) {
                        mayBeStored = alreadyStored;
                    }
                    stored =
                            response instanceof StoreResponse.Success<StoreRevision>
                                    ? Optional.of(leasedVote)
                                    : Optional.empty();
                });
    }

    private void withdraw(ServiceGroup group, LeaseId lease) {
        context.record(EventCode.REPLACEMENT_VOTE, group.name(), WITHDRAWN);
        StoreWrite write =
                StoreWrite.put(key, WITHDRAWN, lease)
                        .onlyIf(key, keyRevision)
                        .onlyIf(failoverLeaseKey, StoreRevision.NONE);
        write(
                write,
                response -> {
                    mayBeStored &= !(response instanceof StoreResponse.Success<StoreRevision>);
                    stored = Optional.empty();
                });
    }

    private void write(StoreWrite write, Consumer<StoreResponse<StoreRevision>> callback) {
        writePending = true;
        context.store()
                .write(
                        write,
                        response -> {
                            writePending = false;
                            callback.accept(response);
                            fence.accept(fencedPrimary());
                            if (response instanceof StoreResponse.Success<StoreRevision> success) {
                                observe(success.value(), true);
                            } else {
                                nextWriteNanos = context.clock().nanoTime() + RETRY_DELAY.toNanos();
                            }
                            if (response instanceof StoreResponse.Mismatch<StoreRevision>) {
                                read();
                            }
                        });
    }

    private void read() {
        writePending = true;
        KeyReader.read(
                context.store(),
                key,
                entry -> {
                    writePending = false;
                    entry.ifPresent(this::onStoreChange);
                });
    }

    private void observe(StoreRevision changedAt, boolean exists) {
        if (changedAt.compareTo(lastChange) > 0) {
            lastChange = changedAt;
            keyRevision = exists ? changedAt : StoreRevision.NONE;
        }
    }

    /** A vote, and the lease whose expiry deletes it from the store. */
    private record LeasedVote(Vote vote, LeaseId lease) {}
}
