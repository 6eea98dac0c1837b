package org.carobstage.http;

import static java.util.Objects.requireNonNull;

import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.http.api.Http2Settings;
import io.servicetalk.http.api.Http2SettingsBuilder;
import io.servicetalk.http.api.HttpExecutionStrategy;
import io.servicetalk.http.api.HttpProtocolConfig;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpServerBuilder;
import io.servicetalk.http.api.HttpService;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.ServerContext;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.Address;

/** An HTTP server that listens on one address. */
public final class JsonServer implements AutoCloseable {
    private final ServerContext context;
    private final ServerRequestFilter requestFilter;
    private final ConnectionTracker connectionTracker;

    private JsonServer(
            ServerContext context,
            ServerRequestFilter requestFilter,
            ConnectionTracker connectionTracker) {
        this.context = context;
        this.requestFilter = requestFilter;
        this.connectionTracker = connectionTracker;
    }

    /**
     * Starts a server.
     *
     * @param address the listen address; port 0 selects a free port
     * @param service handles the requests; must not block
     * @return the running server
     * @throws CodedException if the address can't be used
     */
    public static JsonServer of(Address address, HttpService service) {
        return of(address, ServerOptions.defaults(), service);
    }

    /**
     * Starts a server with an execution strategy.
     *
     * @param address the listen address; port 0 selects a free port
     * @param executionStrategy which work is offloaded from the I/O threads
     * @param service handles the requests
     * @return the running server
     * @throws CodedException if the address can't be used
     */
    public static JsonServer of(
            Address address, HttpExecutionStrategy executionStrategy, HttpService service) {
        return of(
                address,
                ServerOptions.defaults().withExecutionStrategy(executionStrategy),
                service);
    }

    /**
     * Starts a server.
     *
     * @param address the listen address; port 0 selects a free port
     * @param options the limits, TLS settings, protocol and execution strategy
     * @param service handles the requests
     * @return the running server
     * @throws CodedException if the address or the certificate can't be used
     */
    public static JsonServer of(Address address, ServerOptions options, HttpService service) {
        requireNonNull(address, "address is null");
        requireNonNull(options, "options is null");
        requireNonNull(service, "service is null");
        ConnectionTracker connectionTracker =
                ConnectionTracker.of(Executors.global(), options.limits().idleTimeout());
        ServerRequestFilter requestFilter =
                ServerRequestFilter.of(options.limits(), connectionTracker);
        try {
            HttpServerBuilder builder =
                    createBuilder(address, options)
                            .appendConnectionAcceptorFilter(connectionTracker)
                            .appendServiceFilter(requestFilter);
            return new JsonServer(
                    builder.listenAndAwait(service), requestFilter, connectionTracker);
        } catch (Exception e) {
            throw CodedException.of(ErrorCode.BAD_SETTINGS, "can't listen on " + address, e);
        }
    }

    /**
     * Returns the listen address.
     *
     * @return the address with the port in use
     */
    public Address address() {
        InetSocketAddress bound = (InetSocketAddress) context.listenAddress();
        return Address.of(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return the number of requests whose responses are not yet fully written
     */
    public int activeRequestCount() {
        return requestFilter.activeRequestCount();
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number of connections
     */
    public int openConnectionCount() {
        return connectionTracker.openConnectionCount();
    }

    /**
     * Adds {@code connection: close} to each following response, so that clients reconnect to
     * another server.
     */
    public void startDraining() {
        requestFilter.startDraining();
    }

    /** Marks the requests that arrive from now on, see {@link #isReceivedTooLate}. */
    public void rejectNewRequests() {
        requestFilter.rejectNewRequests();
    }

    /**
     * Returns whether a request began to arrive after {@link #rejectNewRequests}.
     *
     * @param request the request
     * @return false if it counts as in progress
     */
    public static boolean isReceivedTooLate(HttpRequest request) {
        return ServerRequestFilter.isReceivedTooLate(request);
    }

    /** Closes the server once the requests in progress are complete; returns at once. */
    @Override
    public void close() {
        connectionTracker.close();
        context.closeAsyncGracefully().subscribe();
    }

    /**
     * Closes the server once the requests in progress are complete, and waits until it is closed.
     *
     * @param timeout the longest wait; connections still open after it are closed
     */
    public void close(Duration timeout) {
        connectionTracker.close();
        try {
            context.closeAsyncGracefully().toFuture().get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            context.closeAsync().subscribe();
        }
    }

    private static HttpServerBuilder createBuilder(Address address, ServerOptions options) {
        HttpServerBuilder builder =
                HttpServers.forAddress(address.toSocketAddress())
                        .executionStrategy(options.executionStrategy())
                        .protocols(protocols(options));
        options.tls().ifPresent(tls -> builder.sslConfig(tls.toServerConfig()));
        return builder;
    }

    private static HttpProtocolConfig[] protocols(ServerOptions options) {
        int headerBytes = options.limits().maxHeaderBytes();
        HttpProtocolConfig http1 =
                HttpProtocolConfigs.h1()
                        .maxStartLineLength(headerBytes)
                        .maxHeaderFieldLength(headerBytes)
                        .build();
        Http2Settings http2Settings =
                new Http2SettingsBuilder().maxHeaderListSize(headerBytes).build();
        HttpProtocolConfig http2 = HttpProtocolConfigs.h2().initialSettings(http2Settings).build();
        if (options.tls().isPresent()) {
            return new HttpProtocolConfig[] {http2, http1};
        }
        return new HttpProtocolConfig[] {options.http2PriorKnowledge() ? http2 : http1};
    }
}
