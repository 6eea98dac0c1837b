/** Which instances serve a service, as they register themselves. */
package org.carobstage.discovery;
