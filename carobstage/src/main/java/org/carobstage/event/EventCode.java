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
    /** An instance does not answer this process. */
    INSTANCE_SUSPECTED(3010, Level.WARNING),
    /** A suspected instance answers again. */
    INSTANCE_TRUSTED(3011, Level.INFO),
    /** Which instance leads a service is known, or no longer known. */
    PRIMARY_KNOWN(3012, Level.INFO),
    /** This process reports to the others that a primary should be replaced, or no longer does. */
    REPLACEMENT_VOTE(3013, Level.INFO),
    /** This process holds the lease to replace the primary of a service. */
    FAILOVER_LEASE_HELD(3014, Level.INFO),
    /** A replica was chosen to become primary, or none can be chosen safely. */
    FAILOVER_CHOICE(3015, Level.INFO),
    /** The order to promote a replica was sent, and what was answered. */
    FAILOVER_ORDER(3016, Level.INFO),
    /** A failover that this process led is over. */
    FAILOVER_ENDED(3017, Level.INFO),
    /** An instance began to refuse connections. */
    CONNECTIONS_REFUSED(3018, Level.WARNING),
    /** The store answers again. */
    STORE_REGAINED(2020, Level.INFO),
    /** The store does not answer or refuses calls. */
    STORE_LOST(2021, Level.WARNING),
    /** The routes have changed. */
    ROUTES_APPLIED(2022, Level.INFO),
    /** An entry of the store can't be read and is ignored. */
    ENTRY_UNREADABLE(2023, Level.WARNING),
    /** An instance was registered, has changed or is gone. */
    INSTANCE_CHANGED(2024, Level.INFO),
    /** The set of processes that share the connections has changed. */
    MEMBERS_CHANGED(2025, Level.INFO),
    /** The settings were read again. */
    SETTINGS_RELOADED(1005, Level.INFO),
    /** A statement was refused, and the instance did not run it. */
    STATEMENT_REFUSED(5002, Level.INFO),
    /** A statement is sent to another instance, or again. */
    STATEMENT_RETRIED(5003, Level.INFO),
    /** A statement was sent and has failed or was given up. */
    STATEMENT_FAILED(5004, Level.INFO),
    /** A session was refused or closed by the proxy. */
    SESSION_ENDED(5005, Level.INFO),
    /** A statement succeeded later than the latency objective of its route. */
    STATEMENT_SLOW(5006, Level.INFO),
    /** Log lines were dropped because they came faster than the limit. */
    LINES_DROPPED(1007, Level.WARNING),
    /** A transaction ended without its caller's commit or rollback. */
    TRANSACTION_ROLLED_BACK(5001, Level.INFO),
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
