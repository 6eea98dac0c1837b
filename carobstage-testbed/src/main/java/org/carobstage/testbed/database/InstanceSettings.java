package org.carobstage.testbed.database;

import org.carobstage.model.InstanceId;

/**
 * The limits and delays of a stand-in instance.
 *
 * @param id the instance
 * @param slots how many statements run at once
 * @param connections how many connections it accepts
 * @param openMillis how long opening a connection takes, in ms
 * @param lagMillis how far replication lags behind the primary, in ms
 * @param serviceMillis how long a statement holds its slot beyond its own run, in ms
 */
public record InstanceSettings(
        InstanceId id,
        int slotCount,
        int maxConnections,
        long openDelayMillis,
        long replicationLagMillis,
        long serviceTimeMillis) {}
