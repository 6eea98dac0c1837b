/** Assembles the process of an entry VM and shuts it down gracefully. */
package org.carobstage.node;
