/** Numbered events, timestamped by a hybrid logical clock, and their log lines. */
package org.carobstage.event;
