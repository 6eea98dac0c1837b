/**
 * Admission control for the slots of an instance: which requests wait, in which order, and which
 * are rejected at once. The current time is a parameter of each decision.
 */
package org.carobstage.admission;
