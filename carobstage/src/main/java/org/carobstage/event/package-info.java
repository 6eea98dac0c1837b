/** Numbered events with a hybrid logical clock: the time line. */
package org.carobstage.event;
