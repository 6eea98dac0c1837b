package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.carobstage.account.RateLimit;
import org.carobstage.freshness.ClockReading;
import org.carobstage.model.AccountName;
import org.carobstage.model.VmId;
import org.carobstage.quota.OperationLimiter.Decision;

/** The process's side of one shard: requests tokens from its owner and decides operations. */
final class QuotaShardClient {
    /** Less than the 150 ms that an operation may wait, by the interval of the checks. */
    static final Duration RESPONSE_TIMEOUT =
            Duration.ofMillis(150).minus(QuotaLimiter.TICK_INTERVAL);

    /**
     * An owner counts a process for 600 ms after the response that a request acknowledges, which is
     * that of the request before: two intervals and 100 ms for the way of the messages.
     */
    static final Duration KEEP_ALIVE_INTERVAL = Duration.ofMillis(250);

    /** A keep-alive that is due within this time is sent together with that of another shard. */
    private static final Duration KEEP_ALIVE_TOLERANCE = Duration.ofMillis(50);

    /** An owner that is lost is replaced when its lease has ended. */
    private static final Duration OWNER_REPLACEMENT = Duration.ofSeconds(3);

    /** Both clocks advance alike unless the VM was suspended or the time of day was stepped. */
    private static final long SUSPENSION_NANOS = 100_000_000L;

    private static final long SWEEP_INTERVAL_NANOS = Duration.ofSeconds(10).toNanos();

    /** The time to come back if the owner is slow or does not know the limit yet. */
    private static final Duration SHORT_RETRY = Duration.ofMillis(100);

    private static final Grant UNKNOWN = new Grant(0, SHORT_RETRY);

    private final QuotaShard shard;
    private final Duration validity;
    private final Function<AccountName, Optional<RateLimit>> limits;
    private final QuotaRequestSender sender;
    private final StandaloneShare share;

    /** Decides accounts whose names fit into no message; no owner has a bucket for them. */
    private final StandaloneShare unsendableShare;

    private final Map<AccountName, AccountTokens> accounts = new HashMap<>();
    private final Deque<Waiter> queued = new ArrayDeque<>();
    private final Deque<Runnable> actions = new ArrayDeque<>();
    private Contact contact = Contact.AWAITED;
    private ClockReading awaitedSince;
    private ClockReading last;
    private Optional<VmId> owner = Optional.empty();
    private Optional<InProgress> inProgress = Optional.empty();
    private Optional<ClockReading> sentAt = Optional.empty();
    private Optional<ClockReading> respondedAt = Optional.empty();
    private boolean messageDue;
    private boolean refused;
    private long acknowledged;
    private long sequence;
    private long sweptAtNanos;
    private QuotaCounters counters = new QuotaCounters(0, 0, 0, 0);

    private QuotaShardClient(
            QuotaShard shard,
            VmId self,
            QuotaPolicy policy,
            Membership membership,
            Function<AccountName, Optional<RateLimit>> limits,
            QuotaRequestSender sender,
            ClockReading startedAt) {
        this.shard = requireNonNull(shard, "shard is null");
        this.validity = policy.tokenValidity();
        this.limits = requireNonNull(limits, "limits is null");
        this.sender = requireNonNull(sender, "sender is null");
        this.share = StandaloneShare.of(self, policy, membership, startedAt);
        this.unsendableShare = StandaloneShare.of(self, policy, membership, startedAt);
        this.awaitedSince = startedAt;
        this.last = startedAt;
        this.sweptAtNanos = startedAt.monotonicNanos();
        // A later run of this process continues with higher numbers.
        this.sequence = Math.max(0, startedAt.epochNanos());
    }

    static QuotaShardClient of(
            QuotaShard shard,
            VmId self,
            QuotaPolicy policy,
            Membership membership,
            Function<AccountName, Optional<RateLimit>> limits,
            QuotaRequestSender sender,
            ClockReading startedAt) {
        return new QuotaShardClient(shard, self, policy, membership, limits, sender, startedAt);
    }

    void acquire(AccountName account, Consumer<Decision> callback, ClockReading now) {
        checkTime(now);
        decide(new Waiter(account, callback, now), now);
        finish(now);
    }

    void onTick(ClockReading now) {
        checkTime(now);
        finish(now);
    }

    void onResponse(VmId from, QuotaResponse response, ClockReading now) {
        checkTime(now);
        inProgress
                .filter(request -> owner.filter(from::equals).isPresent())
                .filter(request -> request.message.sequence() == response.sequence())
                .ifPresent(request -> accept(request, response, now));
        finish(now);
    }

    void onOwnerChanged(Optional<VmId> newOwner, ClockReading now) {
        checkTime(now);
        inProgress.ifPresent(this::requeue);
        inProgress = Optional.empty();
        owner = newOwner;
        sentAt = Optional.empty();
        acknowledged = 0;
        refused = false;
        messageDue = true;
        accounts.values().forEach(AccountTokens::reset);
        if (contact == Contact.RESPONDING || newOwner.isPresent()) {
            await(now);
        }
        finish(now);
    }

    /**
     * Returns the time after which {@link #onTick} has to be called, unless an event is earlier.
     */
    Duration untilTick(ClockReading now) {
        boolean waiting =
                !queued.isEmpty() || inProgress.filter(r -> !r.waiters.isEmpty()).isPresent();
        if (waiting) {
            return QuotaLimiter.TICK_INTERVAL;
        }
        Duration left =
                sentAt.filter(at -> owner.isPresent())
                        .map(at -> KEEP_ALIVE_INTERVAL.minus(at.age(now)))
                        .orElse(KEEP_ALIVE_INTERVAL);
        // A keep-alive that is due waits for the response to an earlier request.
        return left.compareTo(QuotaLimiter.TICK_INTERVAL) < 0 ? QuotaLimiter.TICK_INTERVAL : left;
    }

    QuotaCounters counters() {
        return counters;
    }

    int accountCount() {
        return accounts.size();
    }

    String describe(AccountName account, ClockReading now) {
        int tokens =
                Optional.ofNullable(accounts.get(account)).map(AccountTokens::tokens).orElse(0);
        return String.format(
                "tokens %d, share %.1f, owner %s, last response %s",
                tokens,
                share.level(account),
                owner.isPresent() ? "known" : "unknown",
                respondedAt.map(at -> at.age(now).toMillis() + " ms ago").orElse("never"));
    }

    private void checkTime(ClockReading now) {
        long monotonic = now.monotonicNanos() - last.monotonicNanos();
        if (last.age(now).toNanos() - monotonic > SUSPENSION_NANOS) {
            accounts.values().forEach(AccountTokens::reset);
            share.exclude(now);
        }
        last = now;
        share.untilUsable(now);
        unsendableShare.untilUsable(now);
        boolean silent = inProgress.filter(r -> isOverdue(r.sentAt, now)).isPresent();
        if (contact == Contact.RESPONDING && silent
                || contact == Contact.AWAITED && isOverdue(awaitedSince, now)) {
            decideAlone(now);
        }
        queued.removeIf(waiter -> rejectIfOverdue(waiter, now));
        inProgress.ifPresent(r -> r.waiters.removeIf(waiter -> rejectIfOverdue(waiter, now)));
        if (now.monotonicNanos() - sweptAtNanos >= SWEEP_INTERVAL_NANOS) {
            sweptAtNanos = now.monotonicNanos();
            accounts.values().removeIf(account -> account.isIdle(now, validity));
            share.sweep(now);
            unsendableShare.sweep(now);
        }
    }

    private void decide(Waiter waiter, ClockReading now) {
        Optional<RateLimit> limit = limits.apply(waiter.account);
        if (limit.isEmpty()) {
            permit(waiter);
            return;
        }
        if (!QuotaMessages.isSendable(waiter.account)) {
            decideByShare(unsendableShare, waiter, now);
            return;
        }
        AccountTokens account =
                accounts.computeIfAbsent(waiter.account, name -> new AccountTokens());
        account.onOperation(now);
        if (account.tryTake(now, validity)) {
            permit(waiter);
        } else if (contact == Contact.NONE) {
            decideByShare(share, waiter, now);
        } else if (!account.untilNext(now).isZero()) {
            reject(waiter, account.untilNext(now));
        } else {
            queued.add(waiter);
        }
    }

    private void accept(InProgress request, QuotaResponse response, ClockReading now) {
        inProgress = Optional.empty();
        if (!response.owner()) {
            request.waiters.forEach(queued::add);
            refused = true;
            if (contact == Contact.RESPONDING) {
                await(now);
            }
            return;
        }
        refused = false;
        acknowledged = response.sequence();
        respondedAt = Optional.of(now);
        messageDue |= contact != Contact.RESPONDING;
        contact = Contact.RESPONDING;
        request.message
                .counts()
                .forEach(
                        (name, count) ->
                                accounts.computeIfAbsent(name, n -> new AccountTokens())
                                        .add(
                                                response.grants().getOrDefault(name, UNKNOWN),
                                                count,
                                                request.sentAt,
                                                now,
                                                validity));
        request.waiters.forEach(waiter -> permitOrReject(waiter, now));
        queued.removeIf(waiter -> tryPermit(waiter, now));
    }

    private void await(ClockReading now) {
        contact = Contact.AWAITED;
        awaitedSince = now;
    }

    /** Decides all waiting operations without an owner. */
    private void decideAlone(ClockReading now) {
        contact = Contact.NONE;
        messageDue = true;
        inProgress.ifPresent(this::requeue);
        List<Waiter> waiters = List.copyOf(queued);
        queued.clear();
        waiters.forEach(waiter -> decideByShare(share, waiter, now));
    }

    private void requeue(InProgress request) {
        for (int i = request.waiters.size() - 1; i >= 0; i--) {
            queued.addFirst(request.waiters.get(i));
        }
        request.waiters.clear();
    }

    private void decideByShare(StandaloneShare used, Waiter waiter, ClockReading now) {
        Optional<RateLimit> limit = limits.apply(waiter.account);
        if (limit.isEmpty()) {
            permit(waiter);
        } else if (used.tryPermit(waiter.account, limit.get(), now)) {
            counters = counters.withStandalonePermitted();
            permit(waiter);
        } else {
            reject(waiter, untilShare(used, waiter.account, limit.get(), now));
        }
    }

    private Duration untilShare(
            StandaloneShare used, AccountName account, RateLimit limit, ClockReading now) {
        Duration wait =
                used.untilUsable(now)
                        .map(d -> d.isZero() ? used.untilNext(account, limit, now) : d)
                        .orElse(OWNER_REPLACEMENT);
        return wait.compareTo(OWNER_REPLACEMENT) < 0 ? wait : OWNER_REPLACEMENT;
    }

    private boolean tryPermit(Waiter waiter, ClockReading now) {
        boolean taken =
                Optional.ofNullable(accounts.get(waiter.account))
                        .filter(account -> account.tryTake(now, validity))
                        .isPresent();
        if (taken) {
            permit(waiter);
        }
        return taken;
    }

    private void permitOrReject(Waiter waiter, ClockReading now) {
        if (!tryPermit(waiter, now)) {
            Duration next = accounts.get(waiter.account).untilNext(now);
            reject(waiter, next.isZero() ? SHORT_RETRY : next);
        }
    }

    private boolean rejectIfOverdue(Waiter waiter, ClockReading now) {
        boolean overdue = isOverdue(waiter.since, now);
        if (overdue) {
            reject(waiter, SHORT_RETRY);
        }
        return overdue;
    }

    private void permit(Waiter waiter) {
        counters = counters.withPermitted();
        actions.add(() -> waiter.callback.accept(new Decision.Permitted()));
    }

    private void reject(Waiter waiter, Duration retryAfter) {
        counters = counters.withRejected();
        actions.add(() -> waiter.callback.accept(new Decision.Rejected(retryAfter)));
    }

    private void finish(ClockReading now) {
        boolean idle = inProgress.filter(request -> !isOverdue(request.sentAt, now)).isEmpty();
        boolean keepAlive =
                sentAt.map(at -> at.age(now).plus(KEEP_ALIVE_TOLERANCE))
                        .filter(age -> age.compareTo(KEEP_ALIVE_INTERVAL) < 0)
                        .isEmpty();
        boolean wanted = messageDue || keepAlive || !queued.isEmpty() && !refused;
        if (owner.isPresent() && idle && wanted) {
            send(owner.get(), now);
        }
        runActions();
    }

    private void send(VmId to, ClockReading now) {
        Map<AccountName, Integer> counts = new LinkedHashMap<>();
        List<Waiter> included = new ArrayList<>();
        int characters = 0;
        for (Waiter waiter : List.copyOf(queued)) {
            AccountName name = waiter.account;
            if (QuotaMessages.hasRoom(counts, characters, name)) {
                characters += counts.containsKey(name) ? 0 : name.value().length();
                counts.merge(name, 1, Integer::sum);
                included.add(queued.removeFirst());
            } else {
                break;
            }
        }
        counts.replaceAll((name, n) -> n + accounts.get(name).prefetchCount(now));
        boolean standalone = contact != Contact.RESPONDING;
        if (!standalone) {
            share.exclude(now);
        }
        QuotaRequest message =
                new QuotaRequest(shard, ++sequence, acknowledged, standalone, counts);
        inProgress = Optional.of(new InProgress(message, now, included));
        sentAt = Optional.of(now);
        messageDue = false;
        counters = counters.withRequest();
        actions.add(() -> sender.send(to, message));
    }

    /** Runs every action although one may fail or cause the next event within its run. */
    private void runActions() {
        RuntimeException failure = null;
        for (Runnable next = actions.poll(); next != null; next = actions.poll()) {
            try {
                next.run();
            } catch (RuntimeException e) {
                failure = failure == null ? e : failure;
            }
        }
        if (failure != null) {
            throw failure;
        }
    }

    private static boolean isOverdue(ClockReading since, ClockReading now) {
        return since.age(now).compareTo(RESPONSE_TIMEOUT) >= 0;
    }

    /** Whether the owner responds. */
    private enum Contact {
        RESPONDING,
        /** The owner is new, or none is known, since less than the timeout: operations wait. */
        AWAITED,
        /** Operations wait for nothing and are decided by the share. */
        NONE
    }

    private record Waiter(AccountName account, Consumer<Decision> callback, ClockReading since) {}

    private record InProgress(QuotaRequest message, ClockReading sentAt, List<Waiter> waiters) {}
}
