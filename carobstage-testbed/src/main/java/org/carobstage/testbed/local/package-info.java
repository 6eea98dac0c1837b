/** Stand-ins inside one process, on a paused clock. */
package org.carobstage.testbed.local;
