/**
 * In-memory instances and an in-memory metadata store with fault injection, for tests on a manual
 * clock.
 */
package org.carobstage.fake;
