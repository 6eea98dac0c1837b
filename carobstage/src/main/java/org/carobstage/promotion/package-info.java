/** Detection of failed primaries and promotion of replicas, as state transitions without I/O. */
package org.carobstage.promotion;
