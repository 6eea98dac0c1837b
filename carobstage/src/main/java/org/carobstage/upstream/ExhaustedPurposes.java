package org.carobstage.upstream;

import java.util.EnumSet;
import java.util.Set;
import org.carobstage.upstream.ConnectionRequest.Purpose;

/**
 * The purposes for which a round has found neither a free connection nor room to open one. With a
 * long queue, most requests of a round are of such a purpose; trying each would make the cost of a
 * released connection grow with the queue.
 */
final class ExhaustedPurposes {
    private final Set<Purpose> purposes = EnumSet.noneOf(Purpose.class);

    private ExhaustedPurposes() {}

    static ExhaustedPurposes none() {
        return new ExhaustedPurposes();
    }

    void clear() {
        purposes.clear();
    }

    /** Records that a request has found no connection; only one that accepts any instance tells. */
    void add(ConnectionRequest request) {
        if (request.excludedInstances().isEmpty()) {
            purposes.add(request.purpose());
        }
    }

    /** Returns whether a request cannot find a connection; excluding instances does not help it. */
    boolean contains(ConnectionRequest request) {
        return purposes.contains(request.purpose());
    }
}
