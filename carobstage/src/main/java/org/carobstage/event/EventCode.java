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
    /** An entry of the configuration does not check and is not applied. */
    CONFIGURATION_REFUSED(2002, Level.ERROR),
    /** A process joined the fleet or announced itself anew. */
    MEMBER_ALIVE(2010, Level.INFO),
    /** A process is about to stop. */
    MEMBER_LEAVING(2011, Level.INFO),
    /** A process does not answer. */
    MEMBER_SUSPECTED(2012, Level.WARNING),
    /** A process did not refute a suspicion, or has stopped. */
    MEMBER_DEAD(2013, Level.WARNING),
    /** This process did not run for a while. */
    PROCESS_PAUSED(2014, Level.WARNING),
    /** The evidence that a group needs another primary has lasted long enough. */
    PRIMARY_SUSPECTED(3001, Level.WARNING),
    /** This process proposes a term. */
    PROMOTION_STARTED(3002, Level.INFO),
    /** A promotion that this process proposed is complete. */
    PROMOTION_COMPLETED(3003, Level.INFO),
    /** A promotion that this process proposed came to nothing. */
    PROMOTION_ABANDONED(3004, Level.WARNING),
    /** Too few instances of a group answer this process. */
    GROUP_UNREACHABLE(3005, Level.WARNING),
    /** A group has another primary than before. */
    PRIMARY_CHANGED(3006, Level.INFO),
    /** An instance is told to follow the primary. */
    INSTANCE_REJOINED(3007, Level.INFO),
    /** A promotion could not be recorded in the platform's key-value service. */
    ANNOUNCEMENT_FAILED(3008, Level.WARNING),
    /** This process was paused and has dropped what it had observed. */
    PAUSE_NOTICED(3009, Level.WARNING),
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
    /** A connection of a peer was refused. */
    PEER_REFUSED(6001, Level.WARNING),
    /** This process's part of a group's limits has changed. */
    SHARE_CHANGED(6002, Level.INFO),
    /** A record of shares was proposed or taken over from a dead process. */
    SHARE_RECORDED(6003, Level.INFO),
    /** The file of token keys was read. */
    TOKEN_KEYS_READ(7001, Level.INFO),
    /** The file of token keys can't be used; the keys read before stay in force. */
    TOKEN_KEYS_UNUSABLE(7002, Level.ERROR),
    /** An operator's request had no key or a wrong one. */
    OPERATOR_REFUSED(7003, Level.WARNING),
    ;

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
