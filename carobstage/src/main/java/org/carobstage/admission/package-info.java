/** Who may wait for a slot, in which order, and who is refused at once; pure decisions. */
package org.carobstage.admission;
