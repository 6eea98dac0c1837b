package org.carobstage.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonSubTypes.Type;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import org.carobstage.model.Address;
import org.carobstage.model.Member;
import org.carobstage.model.VmId;
import org.carobstage.platform.Entry;

/** A message between the processes of the fleet. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @Type(value = PeerMessage.Ping.class, name = "ping"),
    @Type(value = PeerMessage.PingRequest.class, name = "ping-request"),
    @Type(value = PeerMessage.Ack.class, name = "ack"),
    @Type(value = PeerMessage.Gossip.class, name = "gossip"),
    @Type(value = PeerMessage.Sync.class, name = "sync"),
    @Type(value = PeerMessage.ConfigSummary.class, name = "config-summary"),
    @Type(value = PeerMessage.ConfigVersions.class, name = "config-versions"),
    @Type(value = PeerMessage.ConfigRequest.class, name = "config-request"),
    @Type(value = PeerMessage.ConfigEntries.class, name = "config-entries"),
    @Type(value = PeerMessage.Forward.class, name = "forward"),
    @Type(value = PeerMessage.Forwarded.class, name = "forwarded"),
    @Type(value = PeerMessage.Events.class, name = "events")
})
public sealed interface PeerMessage {
    /**
     * Asks whether a member answers.
     *
     * @param number matches the answer
     * @param target the member; a process of another VM at the same address does not answer
     * @param configuration the digest of the sender's configuration
     * @param updates news of members
     */
    record Ping(long number, VmId target, long configuration, List<Member> updates)
            implements PeerMessage {
        /** Checks the message. */
        public Ping {
            updates = List.copyOf(updates);
        }
    }

    /**
     * Asks a member to ping another one.
     *
     * @param number matches the answer
     * @param target the member to ping
     * @param address where it is
     * @param updates news of members
     */
    record PingRequest(long number, VmId target, Address address, List<Member> updates)
            implements PeerMessage {
        /** Checks the message. */
        public PingRequest {
            updates = List.copyOf(updates);
        }
    }

    /**
     * Answers a ping.
     *
     * @param number the number of the ping
     * @param configuration the digest of the sender's configuration, 0 if passed on
     * @param updates news of members
     */
    record Ack(long number, long configuration, List<Member> updates) implements PeerMessage {
        /** Checks the message. */
        public Ack {
            updates = List.copyOf(updates);
        }
    }

    /**
     * Carries news of members.
     *
     * @param updates the news
     */
    record Gossip(List<Member> updates) implements PeerMessage {
        /** Checks the message. */
        public Gossip {
            updates = List.copyOf(updates);
        }
    }

    /**
     * Compares all that two processes know of the members.
     *
     * @param sender the sender
     * @param digest the digest of the sender's view
     * @param answer true if the receiver is not to answer
     * @param members the sender's view, empty in the first message
     */
    record Sync(Member sender, long digest, boolean answer, List<Member> members)
            implements PeerMessage {
        /** Checks the message. */
        public Sync {
            members = List.copyOf(members);
        }
    }

    /**
     * Compares the configuration of two processes.
     *
     * @param buckets a digest for each part of the keys
     */
    record ConfigSummary(List<Long> buckets) implements PeerMessage {
        /** Checks the message. */
        public ConfigSummary {
            buckets = List.copyOf(buckets);
        }
    }

    /**
     * Answers a summary with the versions in the parts that differ.
     *
     * @param buckets the parts that differ
     * @param versions the sender's versions by key
     */
    record ConfigVersions(List<Integer> buckets, Map<String, Long> versions)
            implements PeerMessage {
        /** Checks the message. */
        public ConfigVersions {
            buckets = List.copyOf(buckets);
            versions = Map.copyOf(versions);
        }
    }

    /**
     * Asks for entries.
     *
     * @param keys their keys
     */
    record ConfigRequest(List<String> keys) implements PeerMessage {
        /** Checks the message. */
        public ConfigRequest {
            keys = List.copyOf(keys);
        }
    }

    /**
     * Carries entries of the configuration.
     *
     * @param entries the entries
     */
    record ConfigEntries(List<Entry> entries) implements PeerMessage {
        /** Checks the message. */
        public ConfigEntries {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Hands a statement to an owner of its group.
     *
     * @param number matches the answer
     * @param service the team's service
     * @param statement the statement in JSON
     * @param leftNanos how much of the caller's patience is left, in ns
     */
    record Forward(long number, String service, byte[] statement, long leftNanos)
            implements PeerMessage {}

    /**
     * Answers a forwarded statement.
     *
     * @param number the number of the request
     * @param outcome the outcome in JSON
     */
    record Forwarded(long number, byte[] outcome) implements PeerMessage {}

    /**
     * Keeps a process's last events at a peer.
     *
     * @param vm whose events they are
     * @param batch the events
     */
    record Events(VmId vm, byte[] batch) implements PeerMessage {}
}
