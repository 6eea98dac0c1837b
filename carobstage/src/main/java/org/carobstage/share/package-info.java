/** How the limits of a group's instances are divided over the entry VMs that own the group. */
package org.carobstage.share;
