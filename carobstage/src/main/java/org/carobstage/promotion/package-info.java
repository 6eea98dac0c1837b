/** Detects the loss of a primary and orders the promotion of another, as pure decisions. */
package org.carobstage.promotion;
