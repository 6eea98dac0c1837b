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
import org.carobstage.platform.ListedVm;
import org.carobstage.platform.Platform;
import org.carobstage.platform.PlatformMessages.Lease;
import org.carobstage.platform.PlatformMessages.Swap;
import org.carobstage.platform.PlatformMessages.Swapped;
import org.carobstage.runtime.Clock;

/** The platform in the same process, with outages, lost answers and old answers. */
public final class LocalPlatform implements Platform {
    private static final Duration POLL = Duration.ofMillis(20);
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final Clock clock;
    private PlatformStore store;
    private boolean down;
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
    public void down(boolean value) {
        down = value;
    }

    /**
     * Loses answers after the changes took effect.
     *
     * @param count how many answers
     */
    public void loseAnswers(int count) {
        answersToLose = count;
    }

    /** Forgets all keys, as an instance that lags does. */
    public void forget() {
        store = PlatformStore.empty(() -> clock.instant().toEpochMilli());
    }

    @Override
    public CompletionStage<Optional<Entry>> get(String key) {
        return answer(() -> store.get(key));
    }

    @Override
    public CompletionStage<CasResult> compareAndSwap(
            String key, long expectedVersion, String value) {
        boolean lose = !down && answersToLose > 0;
        if (lose) {
            answersToLose--;
        }
        return answer(() -> store.swap(new Swap(key, expectedVersion, value)))
                .thenApply(swapped -> lose ? Optional.<Swapped>empty() : swapped)
                .thenApply(
                        swapped ->
                                swapped.map(LocalPlatform::toResult)
                                        .orElseGet(() -> new CasResult.Unanswered("no answer")));
    }

    @Override
    public CompletionStage<Optional<Changes>> watch(
            String prefix, long afterRevision, Duration wait) {
        CompletableFuture<Optional<Changes>> result = new CompletableFuture<>();
        store.countCall();
        poll(prefix, afterRevision, clock.nanoTime() + wait.toNanos(), result);
        return result;
    }

    @Override
    public CompletionStage<Optional<Boolean>> lease(String key, String holder, Duration ttl) {
        return answer(() -> store.lease(new Lease(key, holder, ttl.toMillis())));
    }

    @Override
    public CompletionStage<Optional<List<ListedVm>>> vms() {
        return answer(
                () ->
                        store.vms().stream()
                                .map(v -> new ListedVm(v.name(), v.leaving(), peer(v.peer())))
                                .toList());
    }

    @Override
    public void close() {}

    private void poll(
            String prefix, long after, long end, CompletableFuture<Optional<Changes>> result) {
        if (down) {
            clock.schedule(() -> result.complete(Optional.empty()), TIMEOUT);
            return;
        }
        Changes changes = store.changes(prefix, after);
        if (!changes.entries().isEmpty() || clock.nanoTime() - end >= 0) {
            result.complete(Optional.of(changes));
            return;
        }
        clock.schedule(() -> poll(prefix, after, end, result), POLL);
    }

    private <T> CompletionStage<Optional<T>> answer(Supplier<T> call) {
        CompletableFuture<Optional<T>> result = new CompletableFuture<>();
        if (down) {
            clock.schedule(() -> result.complete(Optional.empty()), TIMEOUT);
        } else {
            T value = call.get();
            clock.schedule(() -> result.complete(Optional.of(value)), Duration.ofMillis(2));
        }
        return result;
    }

    private static CasResult toResult(Swapped swapped) {
        return swapped.swapped()
                ? new CasResult.Swapped(swapped.entry())
                : new CasResult.Conflict(swapped.entry());
    }

    private static Address peer(String text) {
        return Optional.ofNullable(text).map(Address::parse).orElse(null);
    }
}
