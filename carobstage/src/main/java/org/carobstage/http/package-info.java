/** Small helpers around ServiceTalk's HTTP and Jackson. */
package org.carobstage.http;
