/** The HTTP interface to operators and to the platform's balancer. */
package org.carobstage.operator;
