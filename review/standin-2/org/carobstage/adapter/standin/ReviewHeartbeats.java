package org.carobstage.adapter.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

/** Writes the entry of each instance every 1.2 s, as the platform's pages say. */
public final class ReviewHeartbeats {
    private static final Duration INTERVAL = Duration.ofMillis(1_200);

    private final StandInPlatform platform;
    private final int slots;
    private final long bornMillis = System.currentTimeMillis();
    private long seq;

    private ReviewHeartbeats(StandInPlatform platform, int slots) {
        this.platform = platform;
        this.slots = slots;
    }

    /** Starts the heartbeats; must be called on the event loop of the platform. */
    public static void start(StandInPlatform platform, int slots) {
        ReviewHeartbeats heartbeats = new ReviewHeartbeats(platform, slots);
        List<StandInInstance> instances =
                platform.services().stream()
                        .flatMap(s -> Stream.of(s.instances().toArray(StandInInstance[]::new)))
                        .toList();
        for (int i = 0; i < instances.size(); i++) {
            StandInInstance instance = instances.get(i);
            instance.clock()
                    .schedule(
                            () -> heartbeats.write(instance),
                            INTERVAL.multipliedBy(i).dividedBy(instances.size()));
        }
    }

    private void write(StandInInstance instance) {
        instance.clock().schedule(() -> write(instance), INTERVAL);
        String json =
                "{\"backend\":\""
                        + instance.service().name()
                        + "\",\"address\":\"127.0.0.1:"
                        + platform.port(instance)
                        + "\",\"zone\":\"domain-a\",\"capacity\":"
                        + slots
                        + ",\"state\":\"ready\",\"db_role\":\""
                        + (instance.isPrimary() ? "primary" : "replica")
                        + "\",\"version\":\"v1\",\"warmup_ms\":0,\"seq\":"
                        + ++seq
                        + ",\"born\":"
                        + bornMillis
                        + "}";
        platform.store().put("servers/" + instance.id(), json.getBytes(StandardCharsets.UTF_8));
    }
}
