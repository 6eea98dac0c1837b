package org.carobstage.http;

import static java.util.Objects.requireNonNull;

import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpExecutionStrategy;
import java.util.Optional;

/**
 * The options of a {@link JsonServer}.
 *
 * @param limits the limits on each request and connection
 * @param tls the certificate and key, or empty for plain TCP
 * @param http2PriorKnowledge true for HTTP/2 with prior knowledge; with TLS the server negotiates
 *     HTTP/2 or HTTP/1.1 instead
 * @param executionStrategy which work is offloaded from the I/O threads
 */
public record ServerOptions(
        ServerLimits limits,
        Optional<TlsSettings> tls,
        boolean http2PriorKnowledge,
        HttpExecutionStrategy executionStrategy) {
    private static final ServerOptions DEFAULT =
            new ServerOptions(
                    ServerLimits.defaults(),
                    Optional.empty(),
                    false,
                    HttpExecutionStrategies.offloadNone());

    /** Rejects null components. */
    public ServerOptions {
        requireNonNull(limits, "limits is null");
        requireNonNull(tls, "tls is null");
        requireNonNull(executionStrategy, "executionStrategy is null");
    }

    /**
     * Returns the options of a plain HTTP/1.1 server whose service does not block.
     *
     * @return the options
     */
    public static ServerOptions defaults() {
        return DEFAULT;
    }

    /**
     * Returns a copy with other limits.
     *
     * @param newLimits the limits on each request and connection
     * @return the new options
     */
    public ServerOptions withLimits(ServerLimits newLimits) {
        return new ServerOptions(newLimits, tls, http2PriorKnowledge, executionStrategy);
    }

    /**
     * Returns a copy with other TLS settings.
     *
     * @param newTls the certificate and key, or empty for plain TCP
     * @return the new options
     */
    public ServerOptions withTls(Optional<TlsSettings> newTls) {
        return new ServerOptions(limits, newTls, http2PriorKnowledge, executionStrategy);
    }

    /**
     * Returns a copy that selects HTTP/2 with prior knowledge.
     *
     * @return the new options
     */
    public ServerOptions withHttp2PriorKnowledge() {
        return new ServerOptions(limits, tls, true, executionStrategy);
    }

    /**
     * Returns a copy with another execution strategy.
     *
     * @param newStrategy which work is offloaded from the I/O threads
     * @return the new options
     */
    public ServerOptions withExecutionStrategy(HttpExecutionStrategy newStrategy) {
        return new ServerOptions(limits, tls, http2PriorKnowledge, newStrategy);
    }
}
