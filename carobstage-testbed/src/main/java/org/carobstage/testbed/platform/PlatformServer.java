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

/** Serves a {@link PlatformStore} over HTTP and plays faults. */
public final class PlatformServer implements AutoCloseable {
    private static final Duration WATCH_INTERVAL = Duration.ofMillis(5);

    private final PlatformStore store;
    private final Executor executor;
    private volatile FaultMessage fault = new FaultMessage(false, 0, 0);
    private int answersToLose;
    private JsonServer server;

    private PlatformServer(PlatformStore store, Executor executor) {
        this.store = store;
        this.executor = executor;
    }

    /**
     * Starts a server.
     *
     * @param store the state to serve
     * @param address where to listen; port 0 takes a free port
     * @param executor keeps time
     * @return the running server
     */
    public static PlatformServer of(PlatformStore store, Address address, Executor executor) {
        PlatformServer server = new PlatformServer(store, executor);
        server.server = JsonServer.of(address, server::handle);
        return server;
    }

    /**
     * Returns where the server listens.
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
     * Sets the faults.
     *
     * @param down true to answer nothing
     * @param delayMillis how long each answer is held back, in ms
     * @param loseAnswers how many answers to changes are lost after the change took effect
     */
    public record FaultMessage(boolean down, long delayMillis, int loseAnswers) {}

    private Single<HttpResponse> handle(
            HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
        if (request.path().equals("/fault")) {
            setFault(read(request, FaultMessage.class));
            return Single.succeeded(responses.ok());
        }
        if (fault.down()) {
            return Single.never();
        }
        Single<?> answer = route(request);
        long delay = fault.delayMillis();
        Single<?> delayed =
                delay == 0 ? answer : executor.timer(Duration.ofMillis(delay)).concat(answer);
        return delayed.map(
                body ->
                        responses
                                .ok()
                                .payloadBody(
                                        context.executionContext()
                                                .bufferAllocator()
                                                .wrap(Json.writeBytes(body))));
    }

    private synchronized void setFault(FaultMessage message) {
        fault = message;
        answersToLose = message.loseAnswers();
    }

    private Single<?> route(HttpRequest request) {
        return switch (request.path()) {
            case "/get" -> Single.succeeded(store.get(read(request, KeyRequest.class).key()));
            case "/swap" -> swap(read(request, CompareAndSwapRequest.class));
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

    private Single<?> swap(CompareAndSwapRequest swap) {
        Object swapped = store.compareAndSwap(swap);
        return loseAnswer() ? Single.never() : Single.succeeded(swapped);
    }

    private synchronized boolean loseAnswer() {
        if (answersToLose == 0) {
            return false;
        }
        answersToLose--;
        return true;
    }

    private Single<Changes> startWatch(WatchRequest watch) {
        store.recordCall();
        return watch(watch);
    }

    private Single<Changes> watch(WatchRequest watch) {
        Changes changes = store.changesSince(watch.prefix(), watch.afterRevision());
        if (!changes.entries().isEmpty() || watch.waitMillis() <= 0) {
            return Single.succeeded(changes);
        }
        long left = watch.waitMillis() - WATCH_INTERVAL.toMillis();
        WatchRequest later = new WatchRequest(watch.prefix(), watch.afterRevision(), left);
        return executor.timer(WATCH_INTERVAL).concat(Single.defer(() -> watch(later)));
    }

    private static <T> T read(HttpRequest request, Class<T> type) {
        return Json.read(request.payloadBody(), type);
    }
}
