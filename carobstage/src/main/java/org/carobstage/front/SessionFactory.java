package org.carobstage.front;

import org.carobstage.account.ApiKey;
import org.carobstage.sql.FailureCode;

/** Opens the sessions of connected clients. */
@FunctionalInterface
public interface SessionFactory {
    /**
     * Opens a session.
     *
     * @param database the database that the client names
     * @param key the API key that the client presents, empty if it presents none
     * @param channel the channel to the client
     * @return the session
     */
    ClientSession open(String database, ApiKey key, ClientChannel channel);

    /**
     * Records that a client was refused before it sent STARTUP.
     *
     * @param code why it was refused
     */
    default void recordRefusedStartup(FailureCode code) {}
}
