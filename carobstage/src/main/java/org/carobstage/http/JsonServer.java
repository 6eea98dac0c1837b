package org.carobstage.http;

import static io.servicetalk.http.api.HttpExecutionStrategies.offloadNone;
import static java.util.Objects.requireNonNull;

import io.servicetalk.http.api.HttpExecutionStrategy;
import io.servicetalk.http.api.HttpService;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.ServerContext;
import java.net.InetSocketAddress;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.Address;

/** An HTTP server on one address. */
public final class JsonServer implements AutoCloseable {
    private final ServerContext context;

    private JsonServer(ServerContext context) {
        this.context = context;
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
        return of(address, offloadNone(), service);
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
        requireNonNull(address, "address is null");
        requireNonNull(service, "service is null");
        try {
            return new JsonServer(
                    HttpServers.forAddress(address.toSocketAddress())
                            .executionStrategy(strategy)
                            .listenAndAwait(service));
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

    /** Closes the server once the requests in progress have been answered. */
    @Override
    public void close() {
        context.closeAsyncGracefully().subscribe();
    }
}
