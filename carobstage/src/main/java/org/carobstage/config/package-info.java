/** The configuration in force: team documents and database groups. */
package org.carobstage.config;
