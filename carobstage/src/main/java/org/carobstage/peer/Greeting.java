package org.carobstage.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonSubTypes.Type;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.carobstage.model.Address;

/** The messages that open a connection: each side proves that it knows the shared secret. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @Type(value = Greeting.Hello.class, name = "hello"),
    @Type(value = Greeting.Welcome.class, name = "welcome"),
    @Type(value = Greeting.Proof.class, name = "proof")
})
sealed interface Greeting {
    /** The version of the protocol; peers of another one are refused. */
    int VERSION = 1;

    /**
     * Opens a connection.
     *
     * @param version the version of the protocol
     * @param address where the sender listens
     * @param nonce random bytes
     */
    record Hello(int version, Address address, byte[] nonce) implements Greeting {}

    /**
     * Answers a hello.
     *
     * @param version the version of the protocol
     * @param nonce random bytes
     * @param proof the acceptor's proof over both nonces
     */
    record Welcome(int version, byte[] nonce, byte[] proof) implements Greeting {}

    /**
     * Ends the opening.
     *
     * @param proof the initiator's proof over both nonces
     */
    record Proof(byte[] proof) implements Greeting {}
}
