/** The platform's key-value service and its list of VMs. */
package org.carobstage.platform;
