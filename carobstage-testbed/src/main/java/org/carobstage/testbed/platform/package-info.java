/** Simulation of the platform's key-value service and VM registry. */
package org.carobstage.testbed.platform;
