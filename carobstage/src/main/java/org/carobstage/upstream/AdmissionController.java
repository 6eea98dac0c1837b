package org.carobstage.upstream;

import java.util.Optional;
import org.carobstage.upstream.ConnectionAdmission.Capacity;

/** Decides which requests may wait for a connection, and in which order they are granted. */
interface AdmissionController {
    /** Returns how many requests wait. */
    int waitingCount();

    /** Removes a request; returns whether it was waiting. */
    boolean cancel(ConnectionRequest request);

    /** Grants the connections that a source has for the waiting requests. */
    void assignConnections(long nowNanos, ConnectionSource connections);

    /** Queues a request; returns the reason if it is rejected. */
    Optional<String> admit(ConnectionRequest request, Capacity capacity, long nowNanos);

    /** Rejects the queued requests that cannot be served before their deadlines. */
    void rejectUnservable(Capacity capacity, long nowNanos);
}
