/** The platform's metadata store: calls with typed outcomes and a mirror kept by a watch. */
package org.carobstage.store;
