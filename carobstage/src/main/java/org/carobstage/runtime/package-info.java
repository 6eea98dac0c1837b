/** The clock, the duties (threads joined by bounded rings) and the closer. */
package org.carobstage.runtime;
