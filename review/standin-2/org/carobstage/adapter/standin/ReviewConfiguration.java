package org.carobstage.adapter.standin;

import java.nio.charset.StandardCharsets;

/** Writes a configuration of the operator as text, with timeouts of its own. */
public final class ReviewConfiguration {
    private ReviewConfiguration() {}

    /** Writes the configuration; must be called on the event loop of the platform. */
    public static void write(StandInPlatform platform, String json) {
        platform.store().put("op/config", json.getBytes(StandardCharsets.UTF_8));
    }
}
