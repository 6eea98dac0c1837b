/** Command line of the testbed. */
package org.carobstage.testbed.cli;
