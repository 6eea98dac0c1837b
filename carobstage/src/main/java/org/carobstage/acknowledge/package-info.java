/**
 * Confirms that a majority of a group holds the log position of a result, before it is returned.
 */
package org.carobstage.acknowledge;
