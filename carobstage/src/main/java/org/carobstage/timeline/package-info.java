/** Merges the events of several processes into one timeline and renders it as text or HTML. */
package org.carobstage.timeline;
