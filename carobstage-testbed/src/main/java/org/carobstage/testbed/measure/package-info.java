/** Figures of running processes beside their targets. */
package org.carobstage.testbed.measure;
