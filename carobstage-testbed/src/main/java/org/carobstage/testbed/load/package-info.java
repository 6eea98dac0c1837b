/** Open-loop and closed-loop load generators for entry VMs over HTTP, and their results. */
package org.carobstage.testbed.load;
