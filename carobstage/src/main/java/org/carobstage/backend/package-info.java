/** The narrow interface to backend servers, and its implementation over HTTP and JSON. */
package org.carobstage.backend;
