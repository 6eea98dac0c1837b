/** Transactions, each pinned to one connection and one caller. */
package org.carobstage.transaction;
