/** Load on entry VMs over HTTP with open-loop arrivals, and its results. */
package org.carobstage.testbed.load;
