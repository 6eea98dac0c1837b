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

/** In-process platform with injectable outages, lost responses and loss of all keys. */
public final class LocalPlatform implements Platform {
    private static final Duration WATCH_POLL_INTERVAL = Duration.ofMillis(20);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);

    private final Clock clock;
    private PlatformStore store;
    private boolean isUnavailable;
    private int responsesToDrop;

    private LocalPlatform(Clock clock) {
        this.clock = clock;
        this.store = PlatformStore.empty(() -> clock.instant().toEpochMilli());
    }

    /**
     * Creates a platform without keys.
     *
     * @param clock the clock that schedules responses and expires leases
     * @return the platform
     */
    public static LocalPlatform of(Clock clock) {
        return new LocalPlatform(clock);
    }

    /**
     * Returns the store with the state of the platform.
     *
     * @return the store
     */
    public PlatformStore store() {
        return store;
    }

    /**
     * Starts or ends an outage, during which every request times out.
     *
     * @param unavailable true to start the outage, false to end it
     */
    public void setUnavailable(boolean unavailable) {
        isUnavailable = unavailable;
    }

    /**
     * Drops the responses to the next compare-and-swap requests, which still take effect.
     *
     * @param count the number of responses to drop
     */
    public void dropNextResponses(int count) {
        responsesToDrop = count;
    }

    /**
     * Replaces the store with an empty one, which simulates a platform instance that lags behind.
     */
    public void resetStore() {
        store = PlatformStore.empty(() -> clock.instant().toEpochMilli());
    }

    @Override
    public CompletionStage<Optional<Entry>> get(String key) {
        return respond(() -> store.get(key));
    }

    @Override
    public CompletionStage<CasResult> compareAndSwap(
            String key, long expectedVersion, String value) {
        boolean isDropped = !isUnavailable && responsesToDrop > 0;
        if (isDropped) {
            responsesToDrop--;
        }
        return respond(
                        () ->
                                store.compareAndSwap(
                                        new CompareAndSwapRequest(key, expectedVersion, value)))
                .thenApply(
                        response -> isDropped ? Optional.<CompareAndSwapResponse>empty() : response)
                .thenApply(
                        response ->
                                response.map(LocalPlatform::toResult)
                                        .orElseGet(() -> new CasResult.Unanswered("no response")));
    }

    @Override
    public CompletionStage<Optional<Changes>> watch(
            String prefix, long afterRevision, Duration wait) {
        CompletableFuture<Optional<Changes>> response = new CompletableFuture<>();
        store.recordCall();
        pollChanges(prefix, afterRevision, clock.nanoTime() + wait.toNanos(), response);
        return response;
    }

    @Override
    public CompletionStage<Optional<Boolean>> acquireLease(
            String key, String holder, Duration ttl) {
        return respond(() -> store.tryAcquireLease(new LeaseRequest(key, holder, ttl.toMillis())));
    }

    @Override
    public CompletionStage<Optional<List<RegisteredVm>>> listVms() {
        return respond(
                () ->
                        store.vms().stream()
                                .map(
                                        vm ->
                                                new RegisteredVm(
                                                        vm.name(),
                                                        vm.leaving(),
                                                        parsePeer(vm.peer())))
                                .toList());
    }

    @Override
    public void close() {}

    private void pollChanges(
            String prefix,
            long afterRevision,
            long deadlineNanos,
            CompletableFuture<Optional<Changes>> response) {
        if (isUnavailable) {
            clock.schedule(() -> response.complete(Optional.empty()), REQUEST_TIMEOUT);
            return;
        }
        Changes changes = store.changesSince(prefix, afterRevision);
        if (!changes.entries().isEmpty() || clock.nanoTime() - deadlineNanos >= 0) {
            response.complete(Optional.of(changes));
            return;
        }
        clock.schedule(
                () -> pollChanges(prefix, afterRevision, deadlineNanos, response),
                WATCH_POLL_INTERVAL);
    }

    private <T> CompletionStage<Optional<T>> respond(Supplier<T> operation) {
        CompletableFuture<Optional<T>> response = new CompletableFuture<>();
        if (isUnavailable) {
            clock.schedule(() -> response.complete(Optional.empty()), REQUEST_TIMEOUT);
        } else {
            T value = operation.get();
            clock.schedule(() -> response.complete(Optional.of(value)), Duration.ofMillis(2));
        }
        return response;
    }

    private static CasResult toResult(CompareAndSwapResponse response) {
        return response.swapped()
                ? new CasResult.Swapped(response.entry())
                : new CasResult.Conflict(response.entry());
    }

    private static Address parsePeer(String address) {
        return Optional.ofNullable(address).map(Address::parse).orElse(null);
    }
}
