/** Error codes and the unchecked exceptions that carry them. */
package org.carobstage.error;
