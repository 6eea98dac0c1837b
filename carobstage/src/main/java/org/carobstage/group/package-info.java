/** Monitors the instances of database groups and promotes primaries. */
package org.carobstage.group;
