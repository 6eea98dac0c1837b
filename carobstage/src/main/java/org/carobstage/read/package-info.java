/** The choice of the instance that serves a read. */
package org.carobstage.read;
