/** Statements of client sessions, their answers and failures, independent of any wire format. */
package org.carobstage.sql;
