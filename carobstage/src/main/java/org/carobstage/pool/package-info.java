/** Connections to instances and the slots in which statements run. */
package org.carobstage.pool;
