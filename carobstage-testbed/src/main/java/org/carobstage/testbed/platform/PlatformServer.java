package org.carobstage.testbed.platform;

import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpServiceContext;
import java.time.Duration;
import org.carobstage.http.Json;
import org.carobstage.http.JsonServer;
import org.carobstage.model.Address;
import org.carobstage.platform.Platform.Changes;
import org.carobstage.platform.PlatformMessages.CompareAndSwapRequest;
import org.carobstage.platform.PlatformMessages.GrantedResponse;
import org.carobstage.platform.PlatformMessages.KeyRequest;
import org.carobstage.platform.PlatformMessages.LeaseRequest;
import org.carobstage.platform.PlatformMessages.Vm;
import org.carobstage.platform.PlatformMessages.VmsResponse;
import org.carobstage.platform.PlatformMessages.WatchRequest;

/** Serves a {@link PlatformStore} over HTTP and injects faults. */
public final class PlatformServer implements AutoCloseable {
    private static final Duration WATCH_POLL_INTERVAL = Duration.ofMillis(5);

    private final PlatformStore store;
    private final Executor executor;
    private volatile FaultMessage faults = new FaultMessage(false, 0, 0);
    private int responsesToDrop;
    private JsonServer server;

    private PlatformServer(PlatformStore store, Executor executor) {
        this.store = store;
        this.executor = executor;
    }

    /**
     * Starts a server.
     *
     * @param store the store to serve
     * @param address the address to listen on; port 0 selects a free port
     * @param executor runs delayed tasks
     * @return the running server
     */
    public static PlatformServer of(PlatformStore store, Address address, Executor executor) {
        PlatformServer server = new PlatformServer(store, executor);
        server.server = JsonServer.of(address, server::handle);
        return server;
    }

    /**
     * Returns the address on which the server listens.
     *
     * @return the address
     */
    public Address address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    /**
     * A request to set the active faults.
     *
     * @param down true to send no responses
     * @param delayMillis how long each response is delayed, in ms
     * @param loseAnswers the number of compare-and-swap requests that take effect but get no
     *     response
     */
    public record FaultMessage(boolean down, long delayMillis, int loseAnswers) {}

    private Single<HttpResponse> handle(
            HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
        if (request.path().equals("/fault")) {
            setFaults(read(request, FaultMessage.class));
            return Single.succeeded(responses.ok());
        }
        if (faults.down()) {
            return Single.never();
        }
        Single<?> response = route(request);
        long delayMillis = faults.delayMillis();
        Single<?> delayedResponse =
                delayMillis == 0
                        ? response
                        : executor.timer(Duration.ofMillis(delayMillis)).concat(response);
        return delayedResponse.map(
                body ->
                        responses
                                .ok()
                                .payloadBody(
                                        context.executionContext()
                                                .bufferAllocator()
                                                .wrap(Json.writeBytes(body))));
    }

    private synchronized void setFaults(FaultMessage message) {
        faults = message;
        responsesToDrop = message.loseAnswers();
    }

    private Single<?> route(HttpRequest request) {
        return switch (request.path()) {
            case "/get" -> Single.succeeded(store.get(read(request, KeyRequest.class).key()));
            case "/swap" -> compareAndSwap(read(request, CompareAndSwapRequest.class));
            case "/watch" -> startWatch(read(request, WatchRequest.class));
            case "/lease" ->
                    Single.succeeded(
                            new GrantedResponse(
                                    store.tryAcquireLease(read(request, LeaseRequest.class))));
            case "/vms" -> Single.succeeded(new VmsResponse(store.vms()));
            case "/list" -> {
                store.registerVm(read(request, Vm.class));
                yield Single.succeeded(new GrantedResponse(true));
            }
            default -> Single.failed(new IllegalArgumentException(request.path()));
        };
    }

    private Single<?> compareAndSwap(CompareAndSwapRequest swap) {
        Object response = store.compareAndSwap(swap);
        return tryConsumeResponseDrop() ? Single.never() : Single.succeeded(response);
    }

    private synchronized boolean tryConsumeResponseDrop() {
        if (responsesToDrop == 0) {
            return false;
        }
        responsesToDrop--;
        return true;
    }

    private Single<Changes> startWatch(WatchRequest watch) {
        store.recordCall();
        return pollChanges(watch);
    }

    private Single<Changes> pollChanges(WatchRequest watch) {
        Changes changes = store.changesSince(watch.prefix(), watch.afterRevision());
        if (!changes.entries().isEmpty() || watch.waitMillis() <= 0) {
            return Single.succeeded(changes);
        }
        long remainingMillis = watch.waitMillis() - WATCH_POLL_INTERVAL.toMillis();
        WatchRequest remaining =
                new WatchRequest(watch.prefix(), watch.afterRevision(), remainingMillis);
        return executor.timer(WATCH_POLL_INTERVAL)
                .concat(Single.defer(() -> pollChanges(remaining)));
    }

    private static <T> T read(HttpRequest request, Class<T> type) {
        return Json.read(request.payloadBody(), type);
    }
}
