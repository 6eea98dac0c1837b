package org.carobstage.ownership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.Predicate;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.membership.Peers;
import org.carobstage.model.Address;
import org.carobstage.model.GroupId;
import org.carobstage.model.Member;
import org.carobstage.peer.PeerMessage;
import org.carobstage.peer.PeerMessage.Forward;
import org.carobstage.peer.PeerMessage.Forwarded;
import org.carobstage.runtime.Clock;
import org.carobstage.statement.Outcome;
import org.carobstage.statement.StatementRequest;

/** Runs a statement here or, if this process has no part of the group, at one that has. */
public final class Forwarder {
    private static final Duration RETRY_AFTER = Duration.ofMillis(200);

    private final Peers peers;
    private final Clock clock;
    private final Predicate<GroupId> serves;
    private final Function<GroupId, Optional<Member>> owner;
    private final Function<StatementRequest, CompletionStage<Outcome>> local;
    private final AtomicLong numbers = new AtomicLong();
    private final Map<Long, CompletableFuture<Outcome>> pending = new ConcurrentHashMap<>();

    private Forwarder(
            Peers peers,
            Clock clock,
            Predicate<GroupId> serves,
            Function<GroupId, Optional<Member>> owner,
            Function<StatementRequest, CompletionStage<Outcome>> local) {
        this.peers = peers;
        this.clock = clock;
        this.serves = serves;
        this.owner = owner;
        this.local = local;
    }

    /**
     * Creates a forwarder.
     *
     * @param peers the other processes
     * @param clock the runtime's clock
     * @param serves tells whether this process has a part of a group's limits
     * @param owner returns another process that should have one
     * @param local runs a statement here
     * @return the forwarder
     */
    public static Forwarder of(
            Peers peers,
            Clock clock,
            Predicate<GroupId> serves,
            Function<GroupId, Optional<Member>> owner,
            Function<StatementRequest, CompletionStage<Outcome>> local) {
        requireNonNull(peers, "peers is null");
        requireNonNull(local, "local is null");
        return new Forwarder(peers, clock, serves, owner, local);
    }

    /**
     * Runs a statement of a caller.
     *
     * @param request the statement
     * @return the outcome
     */
    public CompletionStage<Outcome> run(StatementRequest request) {
        if (serves.test(request.group())) {
            return local.apply(request);
        }
        return owner.apply(request.group())
                .map(member -> forward(request, member))
                .orElseGet(() -> done(notRun("no entry VM with a part of the group is known")));
    }

    /**
     * Takes a message of a peer in; one of another matter is ignored.
     *
     * @param from the peer
     * @param message the message
     */
    public void received(Address from, PeerMessage message) {
        if (message instanceof Forward forward) {
            serve(forward)
                    .thenAccept(
                            outcome ->
                                    peers.send(
                                            from,
                                            new Forwarded(
                                                    forward.number(),
                                                    ForwardCodec.write(outcome))));
        } else if (message instanceof Forwarded forwarded) {
            Optional.ofNullable(pending.remove(forwarded.number()))
                    .ifPresent(f -> f.complete(ForwardCodec.readOutcome(forwarded.outcome())));
        }
    }

    private CompletionStage<Outcome> forward(StatementRequest request, Member member) {
        long left = request.deadlineNanos() - clock.nanoTime();
        if (left <= 0) {
            return done(notRun("the patience ended before the statement was forwarded"));
        }
        long number = numbers.incrementAndGet();
        CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        pending.put(number, outcome);
        Clock.Timer timer = clock.schedule(() -> expire(number), Duration.ofNanos(left));
        outcome.whenComplete((o, e) -> timer.cancel());
        peers.send(
                member.peer(),
                new Forward(number, request.service().value(), ForwardCodec.write(request), left));
        return outcome;
    }

    private void expire(long number) {
        Optional.ofNullable(pending.remove(number))
                .ifPresent(f -> f.complete(new Outcome.Unknown("no answer of the owner in time")));
    }

    /** A forwarded statement is never forwarded again. */
    private CompletionStage<Outcome> serve(Forward forward) {
        try {
            long deadline = clock.nanoTime() + forward.leftNanos();
            StatementRequest request =
                    ForwardCodec.read(forward.service(), forward.statement(), deadline);
            return serves.test(request.group())
                    ? local.apply(request)
                    : done(notRun("the entry VM it was forwarded to has no part of the group"));
        } catch (CodedException e) {
            return done(new Outcome.NotRun(e.code(), e.getMessage(), Optional.empty()));
        }
    }

    private static Outcome notRun(String detail) {
        return new Outcome.NotRun(ErrorCode.NO_INSTANCE, detail, Optional.of(RETRY_AFTER));
    }

    private static CompletionStage<Outcome> done(Outcome outcome) {
        return CompletableFuture.completedFuture(outcome);
    }
}
