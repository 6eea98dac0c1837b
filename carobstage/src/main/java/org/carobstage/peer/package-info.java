/** Links between the proxy processes. */
package org.carobstage.peer;
