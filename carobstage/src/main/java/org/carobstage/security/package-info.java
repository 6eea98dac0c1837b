/** Secrets, the keys that sign session tokens, and TLS. */
package org.carobstage.security;
