package org.carobstage.membership;

import java.util.List;
import org.carobstage.model.Address;
import org.carobstage.model.Member;
import org.carobstage.peer.PeerMessage;

/** The other processes of the fleet, as the decisions that spread over it see them. */
public interface Peers {
    /**
     * Returns this process as its peers should know it.
     *
     * @return the member
     */
    Member self();

    /**
     * Returns all members that are not forgotten, this process among them.
     *
     * @return the members
     */
    List<Member> members();

    /**
     * Sends a message; it is not certain to arrive.
     *
     * @param to where the receiver listens
     * @param message the message
     */
    void send(Address to, PeerMessage message);

    /**
     * Returns the live members without this process.
     *
     * @return the members
     */
    default List<Member> others() {
        return members().stream()
                .filter(m -> m.state().isLive() && !m.vm().equals(self().vm()))
                .toList();
    }
}
