/** Selection of the replica that serves a read. */
package org.carobstage.read;
