/** The configuration from the platform's key-value service: documents, groups and drains. */
package org.carobstage.config;
