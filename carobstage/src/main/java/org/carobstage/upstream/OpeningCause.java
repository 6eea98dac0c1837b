package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.Locale;
import org.carobstage.upstream.ConnectionRequest.Purpose;

/** Why a connection is opened. */
enum OpeningCause {
    /** A connection is kept open without demand. */
    WARM,
    /** The instance is silent on its open connections. */
    PROBE,
    /** A control command waits. */
    CONTROL_COMMAND,
    /** A status query for a read index waits. */
    STATUS_QUERY,
    /** A statement that any instance may run waits. */
    ANY_INSTANCE,
    /** A statement for the primary waits. */
    PRIMARY,
    /** A transaction that any instance may run waits. */
    TRANSACTION,
    /** A transaction for the primary waits. */
    PRIMARY_TRANSACTION;

    static OpeningCause of(Purpose purpose) {
        return valueOf(requireNonNull(purpose, "purpose is null").name());
    }

    /** Returns the name of a counter with this cause as its label. */
    String counter(String name) {
        return name + "{cause=\"" + name().toLowerCase(Locale.ROOT) + "\"}";
    }
}
