/** Open transactions, each pinned to one connection to the primary and to one service. */
package org.carobstage.transaction;
