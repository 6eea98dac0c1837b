/** Who is in the fleet: gossip with suspicion and incarnations. */
package org.carobstage.membership;
