/** The settings of a process, read from INI. */
package org.carobstage.settings;
