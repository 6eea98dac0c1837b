/** The scenario language: callers' steps, faults and expected outcomes on a paused clock. */
package org.carobstage.testbed.scenario;
