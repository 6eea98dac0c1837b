package org.carobstage.membership;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.model.Address;
import org.carobstage.model.Member;
import org.carobstage.peer.PeerMessage;

/** What the membership decision asks its surroundings to do. */
public sealed interface MembershipAction {
    /**
     * Sends a message.
     *
     * @param to the receiver
     * @param message the message
     */
    record Send(Address to, PeerMessage message) implements MembershipAction {
        /** Checks the action. */
        public Send {
            requireNonNull(to, "to is null");
            requireNonNull(message, "message is null");
        }
    }

    /**
     * Tells that a member is known differently.
     *
     * @param before what was known, or empty if it is new
     * @param after what is known now
     */
    record Changed(Optional<Member> before, Member after) implements MembershipAction {
        /** Checks the action. */
        public Changed {
            requireNonNull(before, "before is null");
            requireNonNull(after, "after is null");
        }
    }

    /**
     * Tells that this process was paused and has refuted what was said of it meanwhile.
     *
     * @param nanos how long it was paused, in ns
     */
    record Paused(long nanos) implements MembershipAction {}

    /**
     * Tells the digest of a peer's configuration.
     *
     * @param peer the peer
     * @param digest the digest
     */
    record Configuration(Address peer, long digest) implements MembershipAction {
        /** Checks the action. */
        public Configuration {
            requireNonNull(peer, "peer is null");
        }
    }
}
