/** Evidence of how far the log of a primary had come, and how old that evidence is. */
package org.carobstage.freshness;
