/**
 * Runs statements: selects instances, retries, looks up outcomes and confirms results at a
 * majority.
 */
package org.carobstage.statement;
