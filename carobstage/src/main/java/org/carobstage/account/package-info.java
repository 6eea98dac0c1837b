/** Client accounts: their API keys, limits and priorities, as the configuration defines them. */
package org.carobstage.account;
