/** Histories of callers' operations and the checks on them. */
package org.carobstage.testbed.history;
