package org.carobstage.testbed.load;

import java.util.Optional;

/** A caller's session with the token of its latest response; it sends one request at a time. */
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

    void updateToken(CallerResponse response) {
        if (response.sessionToken().isPresent()) {
            token = response.sessionToken();
        }
    }
}
