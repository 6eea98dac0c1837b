/** Stand-in of a database instance: SQL on embedded H2, slots, terms, log and replication. */
package org.carobstage.testbed.database;
