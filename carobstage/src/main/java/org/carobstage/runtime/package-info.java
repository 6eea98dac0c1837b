/** Clocks, worker threads with bounded queues, and the closing of resources. */
package org.carobstage.runtime;
