/** The events of several processes in one order, and the ways to show them. */
package org.carobstage.timeline;
