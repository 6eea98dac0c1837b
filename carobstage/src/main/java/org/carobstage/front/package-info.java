/** Client sessions, and the process that serves them. */
package org.carobstage.front;
