/** Session consistency: what a session has seen, carried in a token. */
package org.carobstage.session;
