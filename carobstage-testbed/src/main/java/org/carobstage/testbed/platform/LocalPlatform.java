package org.carobstage.testbed.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.carobstage.model.Address;
import org.carobstage.platform.CasResult;
import org.carobstage.platform.Entry;
import org.carobstage.platform.Platform;
import org.carobstage.platform.PlatformMessages.CompareAndSwapRequest;
import org.carobstage.platform.PlatformMessages.CompareAndSwapResponse;
import org.carobstage.platform.PlatformMessages.LeaseRequest;
import org.carobstage.platform.RegisteredVm;
import org.carobstage.runtime.Clock;

/** The platform in the same process, with outages, lost answers and old answers. */
public final class LocalPlatform implements Platform {
    private static final Duration POLL = Duration.ofMillis(20);
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final Clock clock;
    private PlatformStore store;
    private boolean setUnavailable;
    private int answersToLose;

    private LocalPlatform(Clock clock) {
        this.clock = clock;
        this.store = PlatformStore.empty(() -> clock.instant().toEpochMilli());
    }

    /**
     * Creates a platform without keys.
     *
     * @param clock the runtime's clock
     * @return the platform
     */
    public static LocalPlatform of(Clock clock) {
        return new LocalPlatform(clock);
    }

    /**
     * Returns the state.
     *
     * @return the store
     */
    public PlatformStore store() {
        return store;
    }

    /**
     * Sets whether it answers.
     *
     * @param value true to answer nothing
     */
    public void setUnavailable(boolean value) {
        setUnavailable = value;
    }

    /**
     * Loses answers after the changes took effect.
     *
     * @param count how many answers
     */
    public void dropNextResponses(int count) {
        answersToLose = count;
    }

    /** Forgets all keys, as an instance that lags does. */
    public void resetStore() {
        store = PlatformStore.empty(() -> clock.instant().toEpochMilli());
    }

    @Override
    public CompletionStage<Optional<Entry>> get(String key) {
        return answer(() -> store.get(key));
    }

    @Override
    public CompletionStage<CasResult> compareAndSwap(
            String key, long expectedVersion, String value) {
        boolean lose = !setUnavailable && answersToLose > 0;
        if (lose) {
            answersToLose--;
        }
        return answer(
                        () ->
                                store.compareAndSwap(
                                        new CompareAndSwapRequest(key, expectedVersion, value)))
                .thenApply(swapped -> lose ? Optional.<CompareAndSwapResponse>empty() : swapped)
                .thenApply(
                        swapped ->
                                swapped.map(LocalPlatform::toResult)
                                        .orElseGet(() -> new CasResult.Unanswered("no answer")));
    }

    @Override
    public CompletionStage<Optional<Changes>> watch(
            String prefix, long afterRevision, Duration wait) {
        CompletableFuture<Optional<Changes>> result = new CompletableFuture<>();
        store.recordCall();
        poll(prefix, afterRevision, clock.nanoTime() + wait.toNanos(), result);
        return result;
    }

    @Override
    public CompletionStage<Optional<Boolean>> acquireLease(
            String key, String holder, Duration ttl) {
        return answer(() -> store.tryAcquireLease(new LeaseRequest(key, holder, ttl.toMillis())));
    }

    @Override
    public CompletionStage<Optional<List<RegisteredVm>>> listVms() {
        return answer(
                () ->
                        store.vms().stream()
                                .map(v -> new RegisteredVm(v.name(), v.leaving(), peer(v.peer())))
                                .toList());
    }

    @Override
    public void close() {}

    private void poll(
            String prefix, long after, long end, CompletableFuture<Optional<Changes>> result) {
        if (setUnavailable) {
            clock.schedule(() -> result.complete(Optional.empty()), TIMEOUT);
            return;
        }
        Changes changes = store.changesSince(prefix, after);
        if (!changes.entries().isEmpty() || clock.nanoTime() - end >= 0) {
            result.complete(Optional.of(changes));
            return;
        }
        clock.schedule(() -> poll(prefix, after, end, result), POLL);
    }

    private <T> CompletionStage<Optional<T>> answer(Supplier<T> call) {
        CompletableFuture<Optional<T>> result = new CompletableFuture<>();
        if (setUnavailable) {
            clock.schedule(() -> result.complete(Optional.empty()), TIMEOUT);
        } else {
            T value = call.get();
            clock.schedule(() -> result.complete(Optional.of(value)), Duration.ofMillis(2));
        }
        return result;
    }

    private static CasResult toResult(CompareAndSwapResponse swapped) {
        return swapped.swapped()
                ? new CasResult.Swapped(swapped.entry())
                : new CasResult.Conflict(swapped.entry());
    }

    private static Address peer(String text) {
        return Optional.ofNullable(text).map(Address::parse).orElse(null);
    }
}
