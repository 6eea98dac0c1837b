/** Statements of client sessions, their results and failures, independent of the wire format. */
package org.carobstage.sql;
