/** Benchmarks of running processes, compared with their targets. */
package org.carobstage.testbed.measure;
