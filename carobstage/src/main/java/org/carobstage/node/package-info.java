/** The process of an entry VM, put together from its parts. */
package org.carobstage.node;
