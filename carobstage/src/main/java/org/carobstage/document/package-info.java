/** A team's document: maximum staleness, patience and idempotence by request class. */
package org.carobstage.document;
