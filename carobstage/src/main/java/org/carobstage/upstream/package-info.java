/** Connections to instances: pools, the choice of an instance, liveness and leadership. */
package org.carobstage.upstream;
