/** Client interface of the platform's metadata store, and a watcher that reports its changes. */
package org.carobstage.store;
