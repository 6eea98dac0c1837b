/** Which entry VMs serve which group, and how the others reach them. */
package org.carobstage.ownership;
