package org.carobstage.http;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * The limits on each request and connection of a server.
 *
 * @param maxBodyBytes the longest request body, in bytes
 * @param maxHeaderBytes the longest request line and the largest total size of the headers, in
 *     bytes
 * @param idleTimeout how long a connection may be idle before it is closed
 */
public record ServerLimits(int maxBodyBytes, int maxHeaderBytes, Duration idleTimeout) {
    private static final ServerLimits DEFAULT =
            new ServerLimits(1_048_576, 16_384, Duration.ofSeconds(90));

    /** Rejects a null idle timeout. */
    public ServerLimits {
        requireNonNull(idleTimeout, "idleTimeout is null");
    }

    /**
     * Returns the default limits.
     *
     * @return the limits
     */
    public static ServerLimits defaults() {
        return DEFAULT;
    }

    /**
     * Returns a copy with another limit on the body.
     *
     * @param bytes the longest request body, in bytes
     * @return the new limits
     */
    public ServerLimits withMaxBodyBytes(int bytes) {
        return new ServerLimits(bytes, maxHeaderBytes, idleTimeout);
    }
}
