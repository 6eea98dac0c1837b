/** The HTTP interface for operators and the platform's load balancer. */
package org.carobstage.operator;
