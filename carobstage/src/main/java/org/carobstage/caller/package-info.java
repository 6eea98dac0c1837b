/** The HTTP interface through which callers run statements and transactions. */
package org.carobstage.caller;
