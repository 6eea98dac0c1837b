/** The HTTP interface to callers. */
package org.carobstage.caller;
