/**
 * Connection pools for the instances of a service, with instance selection, failure detection and
 * leader tracking.
 */
package org.carobstage.upstream;
