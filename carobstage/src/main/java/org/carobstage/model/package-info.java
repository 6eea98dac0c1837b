/** Value types that name and describe what the system talks about. */
package org.carobstage.model;
