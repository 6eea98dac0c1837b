package org.carobstage.event;

import java.lang.System.Logger.Level;

/** The kinds of events with their numbers and levels; docs/EVENTS.md lists them. */
public enum EventCode {
    /** The process starts; the detail names its build. */
    PROCESS_STARTING(1009, Level.INFO),
    /** The process has started. */
    PROCESS_STARTED(1001, Level.INFO),
    /** The process has begun a graceful shutdown. */
    SHUTDOWN_STARTED(1002, Level.INFO),
    /** All work in progress has ended; the process closes its connections. */
    SHUTDOWN_ENDED(1003, Level.INFO),
    /** The time limit of the shutdown has passed with work still in progress. */
    SHUTDOWN_CUT(1004, Level.WARNING),
    /** A task ended with an unexpected exception; the other tasks continue. */
    TASK_FAILED(1008, Level.ERROR),
    /** A configuration was applied. */
    CONFIGURATION_APPLIED(2001, Level.INFO),
    /** A configuration entry is invalid and is not applied. */
    CONFIGURATION_REFUSED(2002, Level.ERROR),
    /** This process was paused for some time. */
    PROCESS_PAUSED(2014, Level.WARNING),
    /** Evidence that a group needs another primary has persisted for the required time. */
    PRIMARY_SUSPECTED(3001, Level.WARNING),
    /** This process proposes a term. */
    PROMOTION_STARTED(3002, Level.INFO),
    /** A promotion that this process proposed is complete. */
    PROMOTION_COMPLETED(3003, Level.INFO),
    /** A promotion that this process proposed was abandoned. */
    PROMOTION_ABANDONED(3004, Level.WARNING),
    /** Too few instances of a group respond to this process. */
    GROUP_UNREACHABLE(3005, Level.WARNING),
    /** The primary of a group has changed. */
    PRIMARY_CHANGED(3006, Level.INFO),
    /** An instance was instructed to follow the primary. */
    INSTANCE_REJOINED(3007, Level.INFO),
    /** A promotion could not be recorded in the platform's key-value service. */
    ANNOUNCEMENT_FAILED(3008, Level.WARNING),
    /** This process was paused and has discarded its observations. */
    PAUSE_NOTICED(3009, Level.WARNING),
    /** Connections that stopped responding while others still responded were closed together. */
    CONNECTIONS_RETIRED(4001, Level.WARNING),
    /** No connection to an instance could be opened. */
    OPENING_FAILED(4002, Level.WARNING),
    /** A connection to an instance was opened after failed attempts. */
    OPENING_RECOVERED(4003, Level.INFO),
    /** Statements are rejected because their wait would exceed the caller's patience. */
    OVERLOAD_STARTED(4004, Level.WARNING),
    /** No statement has been rejected for some time. */
    OVERLOAD_ENDED(4005, Level.INFO),
    /** Requests were rejected by admission by priority; the detail describes one of them. */
    REQUESTS_SHED(4006, Level.WARNING),
    /** A request of low priority waits because statements queue at an instance. */
    DISPATCH_HELD_BACK(4007, Level.INFO),
    /** A transaction waits because the last connection is left to single statements. */
    CONNECTION_RESERVED(4008, Level.INFO),
    /** An idle transaction was rolled back because a request needed its connection. */
    TRANSACTION_PREEMPTED(4009, Level.WARNING),
    /** An instance does not respond to this process. */
    INSTANCE_SUSPECTED(3010, Level.WARNING),
    /** A suspected instance responds again. */
    INSTANCE_TRUSTED(3011, Level.INFO),
    /** The primary of a service is known, or no longer known. */
    PRIMARY_KNOWN(3012, Level.INFO),
    /** This process votes to replace a primary, or withdraws its vote. */
    REPLACEMENT_VOTE(3013, Level.INFO),
    /** This process has acquired the lease to replace the primary of a service. */
    FAILOVER_LEASE_HELD(3014, Level.INFO),
    /** A replica was selected for promotion, or none can be selected safely. */
    FAILOVER_CHOICE(3015, Level.INFO),
    /** The request to promote a replica has completed; the detail holds the outcome. */
    FAILOVER_ORDER(3016, Level.INFO),
    /** A failover that this process led has ended. */
    FAILOVER_ENDED(3017, Level.INFO),
    /** An instance started to refuse connections. */
    CONNECTIONS_REFUSED(3018, Level.WARNING),
    /** A primary that was replaced was told to step down. */
    STEP_DOWN_REQUESTED(3019, Level.INFO),
    /** A replica has answered the command to pause replication, or another one at a failover. */
    REPLICA_PAUSED(3020, Level.INFO),
    /** A replica was told to resume replication. */
    REPLICA_RESUMED(3021, Level.INFO),
    /** The vote of another process to replace a primary was observed, or its withdrawal. */
    VOTE_OBSERVED(3022, Level.INFO),
    /** An instance reported another role, term or pause than before. */
    INSTANCE_STATUS_CHANGED(3023, Level.INFO),
    /** An instance without an entry may hold commits, or is no longer taken to hold any. */
    REPLICA_SET_CHANGED(3024, Level.INFO),
    /** Connections are from now on opened on demand, or no longer. */
    CONNECTION_SHARING_CHANGED(3025, Level.INFO),
    /** The receiver of a connection or of a response failed. */
    CALLBACK_FAILED(3026, Level.WARNING),
    /** The key of a failover lease that has no holder is deleted. */
    FAILOVER_LEASE_VOID(3027, Level.WARNING),
    /** This process sends a request to promote a replica. */
    PROMOTION_REQUESTED(3028, Level.INFO),
    /** The failover lease of a service or the record of a promotion request has changed. */
    FAILOVER_KEY_OBSERVED(3029, Level.INFO),
    /** What happened to the connections to instances since the last such line. */
    CONNECTION_COUNTS(3030, Level.INFO),
    /** The reports that confirm the newest position of a service are of another kind. */
    READ_EVIDENCE_CHANGED(3031, Level.INFO),
    /** The log of an instance is shorter than it reported before. */
    INSTANCE_LOG_DECREASED(3032, Level.INFO),
    /** A confirmed position is below an earlier one. */
    READ_EVIDENCE_DECREASED(3033, Level.INFO),
    /** A confirmed position does not cover commits that may have been acknowledged before. */
    READ_EVIDENCE_CONTRADICTED(3034, Level.WARNING),
    /** The store responds again. */
    STORE_REGAINED(2020, Level.INFO),
    /** The store does not respond or rejects calls. */
    STORE_LOST(2021, Level.WARNING),
    /** The routes have changed. */
    ROUTES_APPLIED(2022, Level.INFO),
    /** An entry of the store cannot be parsed and is ignored. */
    ENTRY_UNREADABLE(2023, Level.WARNING),
    /** An instance was registered, changed or removed. */
    INSTANCE_CHANGED(2024, Level.INFO),
    /** The set of processes that share the connections has changed. */
    MEMBERS_CHANGED(2025, Level.INFO),
    /** The store was restored from a copy and has lost its latest changes. */
    STORE_RESTORED(2026, Level.WARNING),
    /** The settings were reloaded. */
    SETTINGS_RELOADED(1005, Level.INFO),
    /** The proxy rejected a statement; if it is a write, no instance executed it. */
    STATEMENT_REFUSED(5002, Level.INFO),
    /** A statement is retried, on the same or another instance. */
    STATEMENT_RETRIED(5003, Level.INFO),
    /** A statement was sent and has failed or was abandoned. */
    STATEMENT_FAILED(5004, Level.INFO),
    /** The proxy rejected or closed a session. */
    SESSION_ENDED(5005, Level.INFO),
    /** A statement succeeded later than the latency objective of its route. */
    STATEMENT_SLOW(5006, Level.INFO),
    /** A session was refused because no account holds its key. */
    SESSION_UNAUTHORIZED(5007, Level.INFO),
    /** A configuration has ended the sessions of removed or moved keys. */
    SESSIONS_REVOKED(5008, Level.INFO),
    /** Log lines were dropped because they exceeded the rate limit. */
    LINES_DROPPED(1007, Level.WARNING),
    /** A transaction ended without its caller's commit or rollback. */
    TRANSACTION_ROLLED_BACK(5001, Level.INFO),
    /** This process owns the quota buckets of a shard. */
    QUOTA_SHARD_GAINED(6001, Level.INFO),
    /** This process no longer owns the quota buckets of a shard. */
    QUOTA_SHARD_LOST(6002, Level.INFO),
    /** The entry of a shard is not usable, so the shard has no owner. */
    QUOTA_SHARD_REFUSED(6003, Level.WARNING),
    /** A link to or from another process was opened. */
    PEER_LINK_OPENED(6004, Level.INFO),
    /** A link to or from another process was closed. */
    PEER_LINK_CLOSED(6005, Level.INFO),
    /** A link was closed because of a malformed or refused message, or an unexpected error. */
    PEER_LINK_FAULT(6006, Level.WARNING),
    /** This process uses its equal share of the limits of a shard. */
    QUOTA_STANDALONE_STARTED(6007, Level.WARNING),
    /** The owner of a shard responds again. */
    QUOTA_STANDALONE_ENDED(6008, Level.INFO),
    /** No links are accepted, since the listen address cannot be used. */
    PEER_LISTEN_FAILED(6009, Level.ERROR),
    /** The file of token keys was read. */
    TOKEN_KEYS_READ(7001, Level.INFO),
    /** The file of token keys cannot be used; the keys read before remain valid. */
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
