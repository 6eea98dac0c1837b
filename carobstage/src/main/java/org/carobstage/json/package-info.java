/** JSON without data binding, whose initialization would delay the start of a process. */
package org.carobstage.json;
