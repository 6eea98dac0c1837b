/** Simulated database instance: SQL on embedded H2, slot limits, terms, log and replication. */
package org.carobstage.testbed.database;
