/** Session consistency: the log positions that a session has observed, encoded in a token. */
package org.carobstage.session;
