/** Histories of callers' operations, and a checker of the consistency guarantees on them. */
package org.carobstage.testbed.history;
