/** The processes of other entry VMs: messages and transport between them. */
package org.carobstage.peer;
