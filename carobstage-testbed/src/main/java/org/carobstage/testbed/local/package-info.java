/** In-process simulation of a group and its clients, driven by a manual clock. */
package org.carobstage.testbed.local;
