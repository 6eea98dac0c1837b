package org.carobstage.http;

import static java.util.Objects.requireNonNull;

import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpExecutionStrategy;
import java.util.Optional;

/**
 * How a server serves.
 *
 * @param limits what it accepts of a request and a connection
 * @param tls its certificate, empty for plain TCP
 * @param http2 true for HTTP/2 by prior knowledge; with TLS both protocols are negotiated
 * @param strategy whether requests leave the I/O threads
 */
public record ServerOptions(
        ServerLimits limits,
        Optional<TlsSettings> tls,
        boolean http2PriorKnowledge,
        HttpExecutionStrategy executionStrategy) {
    private static final ServerOptions STANDARD =
            new ServerOptions(
                    ServerLimits.defaults(),
                    Optional.empty(),
                    false,
                    HttpExecutionStrategies.offloadNone());

    /** Checks the options. */
    public ServerOptions {
        requireNonNull(limits, "limits is null");
        requireNonNull(tls, "tls is null");
        requireNonNull(executionStrategy, "strategy is null");
    }

    /**
     * Returns the options of a plain HTTP/1.1 server whose service does not block.
     *
     * @return the options
     */
    public static ServerOptions defaults() {
        return STANDARD;
    }

    /**
     * Changes the limits.
     *
     * @param newLimits what is accepted of a request and a connection
     * @return the new options
     */
    public ServerOptions withLimits(ServerLimits newLimits) {
        return new ServerOptions(newLimits, tls, http2PriorKnowledge, executionStrategy);
    }

    /**
     * Changes the certificate.
     *
     * @param newTls the certificate, empty for plain TCP
     * @return the new options
     */
    public ServerOptions withTls(Optional<TlsSettings> newTls) {
        return new ServerOptions(limits, newTls, http2PriorKnowledge, executionStrategy);
    }

    /**
     * Chooses HTTP/2 by prior knowledge.
     *
     * @return the new options
     */
    public ServerOptions withHttp2PriorKnowledge() {
        return new ServerOptions(limits, tls, true, executionStrategy);
    }

    /**
     * Changes where requests are handled.
     *
     * @param newStrategy whether requests leave the I/O threads
     * @return the new options
     */
    public ServerOptions withExecutionStrategy(HttpExecutionStrategy newStrategy) {
        return new ServerOptions(limits, tls, http2PriorKnowledge, newStrategy);
    }
}
