/**
 * Parses and runs scenarios: operations of callers, faults and expected outcomes on a manual clock.
 */
package org.carobstage.testbed.scenario;
