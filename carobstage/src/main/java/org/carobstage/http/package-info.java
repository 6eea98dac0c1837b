/** HTTP servers and clients that exchange JSON messages, built on ServiceTalk and Jackson. */
package org.carobstage.http;
