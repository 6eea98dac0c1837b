/** The proxy server and the client sessions that it serves. */
package org.carobstage.front;
