/** Reads and validates the settings of a process from an INI file. */
package org.carobstage.settings;
