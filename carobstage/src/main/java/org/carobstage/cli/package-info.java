/** The command-line program and its commands. */
package org.carobstage.cli;
