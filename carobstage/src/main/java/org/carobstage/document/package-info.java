/** A team's document: staleness, patience and idempotence by request class. */
package org.carobstage.document;
