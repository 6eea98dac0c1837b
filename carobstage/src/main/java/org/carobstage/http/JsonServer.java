package org.carobstage.http;

import static java.util.Objects.requireNonNull;

import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.http.api.Http2Settings;
import io.servicetalk.http.api.Http2SettingsBuilder;
import io.servicetalk.http.api.HttpExecutionStrategy;
import io.servicetalk.http.api.HttpProtocolConfig;
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

/** An HTTP server on one address. */
public final class JsonServer implements AutoCloseable {
    private final ServerContext context;
    private final ServerRequestFilter guard;
    private final ConnectionTracker openConnectionCount;

    private JsonServer(
            ServerContext context, ServerRequestFilter guard, ConnectionTracker connections) {
        this.context = context;
        this.guard = guard;
        this.openConnectionCount = connections;
    }

    /**
     * Starts a server.
     *
     * @param address where to listen; port 0 takes a free port
     * @param service handles the requests and must not block
     * @return the running server
     * @throws CodedException if the address can't be used
     */
    public static JsonServer of(Address address, HttpService service) {
        return of(address, ServerOptions.defaults(), service);
    }

    /**
     * Starts a server whose requests are handled as a strategy says.
     *
     * @param address where to listen; port 0 takes a free port
     * @param strategy whether requests leave the I/O threads
     * @param service handles the requests
     * @return the running server
     * @throws CodedException if the address can't be used
     */
    public static JsonServer of(
            Address address, HttpExecutionStrategy strategy, HttpService service) {
        return of(address, ServerOptions.defaults().withExecutionStrategy(strategy), service);
    }

    /**
     * Starts a server.
     *
     * @param address where to listen; port 0 takes a free port
     * @param options how to serve
     * @param service handles the requests
     * @return the running server
     * @throws CodedException if the address or the certificate can't be used
     */
    public static JsonServer of(Address address, ServerOptions options, HttpService service) {
        requireNonNull(address, "address is null");
        requireNonNull(options, "options is null");
        requireNonNull(service, "service is null");
        ConnectionTracker connections =
                ConnectionTracker.of(Executors.global(), options.limits().idleTimeout());
        ServerRequestFilter guard = ServerRequestFilter.of(options.limits(), connections);
        try {
            HttpServerBuilder builder =
                    builder(address, options)
                            .appendConnectionAcceptorFilter(connections)
                            .appendServiceFilter(guard);
            return new JsonServer(builder.listenAndAwait(service), guard, connections);
        } catch (Exception e) {
            throw CodedException.of(ErrorCode.BAD_SETTINGS, "can't listen on " + address, e);
        }
    }

    /**
     * Returns where the server listens.
     *
     * @return the address with the port in use
     */
    public Address address() {
        InetSocketAddress bound = (InetSocketAddress) context.listenAddress();
        return Address.of(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /**
     * Returns how many requests are in progress.
     *
     * @return the number of requests whose answers have not been written yet
     */
    public int activeRequestCount() {
        return guard.activeRequestCount();
    }

    /**
     * Returns how many connections are open.
     *
     * @return the number of connections
     */
    public int openConnectionCount() {
        return openConnectionCount.openConnectionCount();
    }

    /** Asks each client with its next answer to close the connection and go elsewhere. */
    public void startDraining() {
        guard.startDraining();
    }

    /** Closes the server once the requests in progress have been answered. */
    @Override
    public void close() {
        openConnectionCount.close();
        context.closeAsyncGracefully().subscribe();
    }

    /**
     * Closes the server once the requests in progress have been answered, and waits for that.
     *
     * @param limit how long to wait; after that the connections are cut
     */
    public void close(Duration limit) {
        openConnectionCount.close();
        try {
            context.closeAsyncGracefully().toFuture().get(limit.toNanos(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            context.closeAsync().subscribe();
        }
    }

    private static HttpServerBuilder builder(Address address, ServerOptions options) {
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
        Http2Settings initial = new Http2SettingsBuilder().maxHeaderListSize(headerBytes).build();
        HttpProtocolConfig http2 = HttpProtocolConfigs.h2().initialSettings(initial).build();
        if (options.tls().isPresent()) {
            return new HttpProtocolConfig[] {http2, http1};
        }
        return new HttpProtocolConfig[] {options.http2PriorKnowledge() ? http2 : http1};
    }
}
