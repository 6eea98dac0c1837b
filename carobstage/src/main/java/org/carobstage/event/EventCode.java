package org.carobstage.event;

import java.lang.System.Logger.Level;

/** The numbers of all events; docs/EVENTS.md lists them. */
public enum EventCode {
    /** The process has started. */
    PROCESS_STARTED(1001, Level.INFO),
    /** The process has begun a graceful shutdown. */
    SHUTDOWN_STARTED(1002, Level.INFO),
    /** Everything in progress has ended; the process closes its connections. */
    SHUTDOWN_ENDED(1003, Level.INFO),
    /** The limit of the shutdown has passed with work still in progress. */
    SHUTDOWN_CUT(1004, Level.WARNING),
    /** A configuration is in force. */
    CONFIGURATION_APPLIED(2001, Level.INFO),
    /** Connections that no longer answered while others did were closed together. */
    CONNECTIONS_RETIRED(4001, Level.WARNING),
    /** No connection to an instance could be opened. */
    OPENING_FAILED(4002, Level.WARNING),
    /** A connection could be opened again. */
    OPENING_RECOVERED(4003, Level.INFO),
    /** Statements are refused because their wait would exceed the patience. */
    OVERLOAD_STARTED(4004, Level.WARNING),
    /** No statement was refused for a while. */
    OVERLOAD_ENDED(4005, Level.INFO),
    /** A transaction ended without its caller's commit or rollback. */
    TRANSACTION_ROLLED_BACK(5001, Level.INFO),
    /** The file of token keys was read. */
    TOKEN_KEYS_READ(7001, Level.INFO),
    /** The file of token keys can't be used; the keys read before stay in force. */
    TOKEN_KEYS_UNUSABLE(7002, Level.ERROR),
    /** An operator's request had no key or a wrong one. */
    OPERATOR_REFUSED(7003, Level.WARNING);

    private final int number;
    private final Level level;

    EventCode(int number, Level level) {
        this.number = number;
        this.level = level;
    }

    /**
     * Returns the number.
     *
     * @return the number
     */
    public int number() {
        return number;
    }

    /**
     * Returns the level at which the event is logged.
     *
     * @return the level
     */
    public Level level() {
        return level;
    }
}
