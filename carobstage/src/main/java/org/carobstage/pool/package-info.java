/**
 * Pools of the connections to an instance and of the slots that limit its concurrent statements.
 */
package org.carobstage.pool;
