/** Secrets and the keys that sign session tokens. */
package org.carobstage.security;
