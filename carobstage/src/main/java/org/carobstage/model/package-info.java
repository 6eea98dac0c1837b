/**
 * Value types for identifiers, addresses, database groups and log positions.
 *
 * <p>Records that a process compares while it starts declare their methods: the implicit ones are
 * linked through method handles at the first call, which delays a start.
 */
package org.carobstage.model;
