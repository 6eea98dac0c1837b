package org.carobstage.upstream;

import java.util.Optional;

/** Grants connections to the waiting requests of one round, which are asked for in their order. */
@FunctionalInterface
interface ConnectionSource {
    /** Returns a connection for a request, if one is free. */
    Optional<PooledConnection> tryGrant(ConnectionRequest request);

    /**
     * Returns whether a request of the same kind has found no connection in this round, so that
     * this one need not be tried.
     */
    default boolean isExhausted(ConnectionRequest request) {
        return false;
    }
}
