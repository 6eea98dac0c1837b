package org.carobstage.platform;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.carobstage.http.JsonClient;
import org.carobstage.model.Address;
import org.carobstage.platform.PlatformMessages.CompareAndSwapRequest;
import org.carobstage.platform.PlatformMessages.CompareAndSwapResponse;
import org.carobstage.platform.PlatformMessages.GrantedResponse;
import org.carobstage.platform.PlatformMessages.KeyRequest;
import org.carobstage.platform.PlatformMessages.LeaseRequest;
import org.carobstage.platform.PlatformMessages.Vm;
import org.carobstage.platform.PlatformMessages.VmsResponse;
import org.carobstage.platform.PlatformMessages.WatchRequest;

/** Client of the platform over HTTP with JSON messages. */
public final class HttpPlatform implements Platform {
    /** The timeout of requests from the process of an entry VM. */
    public static final Duration PROCESS_TIMEOUT = Duration.ofMillis(1_000);

    /** The timeout of requests from an operator's command. */
    public static final Duration COMMAND_TIMEOUT = Duration.ofMillis(10_000);

    private final JsonClient client;

    private final Duration timeout;

    private HttpPlatform(JsonClient client, Duration timeout) {
        this.client = client;
        this.timeout = timeout;
    }

    /**
     * Creates a client; it connects when first used.
     *
     * @param address the platform's address
     * @param timeout how long to wait for a response
     * @return the client
     */
    public static HttpPlatform of(Address address, Duration timeout) {
        requireNonNull(address, "address is null");
        requireNonNull(timeout, "timeout is null");
        return new HttpPlatform(JsonClient.of(address), timeout);
    }

    @Override
    public CompletionStage<Optional<Entry>> get(String key) {
        return client.post("/get", new KeyRequest(key), Entry.class, timeout)
                .map(Optional::of)
                .onErrorReturn(e -> Optional.empty())
                .toCompletionStage();
    }

    @Override
    public CompletionStage<CasResult> compareAndSwap(
            String key, long expectedVersion, String value) {
        CompareAndSwapRequest request = new CompareAndSwapRequest(key, expectedVersion, value);
        return client.post("/swap", request, CompareAndSwapResponse.class, timeout)
                .map(HttpPlatform::toResult)
                .onErrorReturn(e -> new CasResult.Unanswered(e.toString()))
                .toCompletionStage();
    }

    @Override
    public CompletionStage<Optional<Changes>> watch(
            String prefix, long afterRevision, Duration wait) {
        WatchRequest request = new WatchRequest(prefix, afterRevision, wait.toMillis());
        return client.post("/watch", request, Changes.class, wait.plus(timeout))
                .map(Optional::of)
                .onErrorReturn(e -> Optional.empty())
                .toCompletionStage();
    }

    @Override
    public CompletionStage<Optional<Boolean>> acquireLease(
            String key, String holder, Duration ttl) {
        LeaseRequest request = new LeaseRequest(key, holder, ttl.toMillis());
        return client.post("/lease", request, GrantedResponse.class, timeout)
                .map(response -> Optional.of(response.granted()))
                .onErrorReturn(e -> Optional.empty())
                .toCompletionStage();
    }

    @Override
    public CompletionStage<Optional<List<RegisteredVm>>> listVms() {
        return client.post("/vms", new KeyRequest(""), VmsResponse.class, timeout)
                .map(
                        response ->
                                Optional.of(
                                        response.vms().stream().map(HttpPlatform::toVm).toList()))
                .onErrorReturn(e -> Optional.empty())
                .toCompletionStage();
    }

    @Override
    public void close() {
        client.close();
    }

    private static CasResult toResult(CompareAndSwapResponse response) {
        return response.swapped()
                ? new CasResult.Swapped(response.entry())
                : new CasResult.Conflict(response.entry());
    }

    private static RegisteredVm toVm(Vm vm) {
        Address peer = Optional.ofNullable(vm.peer()).map(Address::parse).orElse(null);
        return new RegisteredVm(vm.name(), vm.leaving(), peer);
    }
}
