/** A fleet of processes in one, on a paused clock, without sockets. */
package org.carobstage.testbed.fleet;
