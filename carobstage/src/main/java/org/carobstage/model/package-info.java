/** Value types for identifiers, addresses, database groups and log positions. */
package org.carobstage.model;
