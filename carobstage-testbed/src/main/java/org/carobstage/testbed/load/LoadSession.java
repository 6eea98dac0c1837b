package org.carobstage.testbed.load;

import java.util.Optional;

/** A caller's session: one request at a time, with the token of the last answer. */
final class LoadSession {
    private final String name;
    private volatile Optional<String> token = Optional.empty();

    LoadSession(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    Optional<String> token() {
        return token;
    }

    void updateToken(CallerResponse reply) {
        if (reply.sessionToken().isPresent()) {
            token = reply.sessionToken();
        }
    }
}
