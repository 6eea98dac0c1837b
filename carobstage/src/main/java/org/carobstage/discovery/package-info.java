/** Discovery of the instances of each service from their registrations in the store. */
package org.carobstage.discovery;
