package org.carobstage.testbed.database;

import org.carobstage.model.InstanceId;

/**
 * The limits and delays of a simulated instance.
 *
 * @param id the instance
 * @param slotCount the maximum number of concurrent statements
 * @param maxConnections the maximum number of connections
 * @param openDelayMillis how long opening a connection takes, in ms
 * @param replicationLagMillis how far replication lags behind the primary, in ms
 * @param serviceTimeMillis how long a statement holds its slot in addition to its execution, in ms
 */
public record InstanceSettings(
        InstanceId id,
        int slotCount,
        int maxConnections,
        long openDelayMillis,
        long replicationLagMillis,
        long serviceTimeMillis) {}
