/** Instances and a store in memory, on the paused clock, whose faults tests switch on. */
package org.carobstage.fake;
