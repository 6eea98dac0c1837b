package org.carobstage.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carobstage.platform.Entry;
import org.carobstage.platform.RegisteredVm;
import org.carobstage.runtime.Clock;

/** Turns the platform's list into entries that say which backend servers are leaving. */
final class BackendDrainDetector {
    private static final String BACKEND = "backend/";
    private static final String PRESENT = "present";
    private static final long STAY_NANOS = Duration.ofSeconds(30).toNanos();

    private final ConfigurationEntries entries;
    private final Clock clock;
    private final Map<String, Long> leftAt = new HashMap<>();

    BackendDrainDetector(ConfigurationEntries entries, Clock clock) {
        this.entries = entries;
        this.clock = clock;
    }

    /** Returns entries for what differs; the end of leaving counts once it was seen for long. */
    List<Entry> changedEntries(List<RegisteredVm> list) {
        List<Entry> news = new ArrayList<>();
        for (RegisteredVm vm : list) {
            if (vm.name().startsWith(BACKEND)) {
                String key =
                        ConfigurationKeys.PLATFORM_BACKENDS + vm.name().substring(BACKEND.length());
                Entry known = entries.get(key);
                boolean leaving = known.value().equals(ConfigurationKeys.DRAINING);
                if (differs(key, vm.isLeaving(), leaving)) {
                    long version = Math.max(known.version() + 1, clock.instant().toEpochMilli());
                    String value = vm.isLeaving() ? ConfigurationKeys.DRAINING : PRESENT;
                    news.add(new Entry(key, version, value));
                }
            }
        }
        return news;
    }

    private boolean differs(String key, boolean listed, boolean known) {
        long now = clock.nanoTime();
        if (listed || !known) {
            leftAt.remove(key);
            return listed != known;
        }
        return now - leftAt.computeIfAbsent(key, k -> now) >= STAY_NANOS;
    }
}
