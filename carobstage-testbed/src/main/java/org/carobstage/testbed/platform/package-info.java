/** Stand-in of the platform's key-value service and list of VMs. */
package org.carobstage.testbed.platform;
