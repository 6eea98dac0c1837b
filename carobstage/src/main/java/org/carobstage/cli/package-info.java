/** The command line. */
package org.carobstage.cli;
