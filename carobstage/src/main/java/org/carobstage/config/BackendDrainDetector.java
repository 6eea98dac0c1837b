package org.carobstage.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carobstage.platform.Entry;
import org.carobstage.platform.RegisteredVm;
import org.carobstage.runtime.Clock;

/** Derives drain entries of backend servers from the platform's list of VMs. */
final class BackendDrainDetector {
    private static final String BACKEND_PREFIX = "backend/";
    private static final String PRESENT = "present";
    private static final long DRAIN_END_DELAY_NANOS = Duration.ofSeconds(30).toNanos();

    private final ConfigurationEntries entries;
    private final Clock clock;
    private final Map<String, Long> stayingSinceNanos = new HashMap<>();

    BackendDrainDetector(ConfigurationEntries entries, Clock clock) {
        this.entries = entries;
        this.clock = clock;
    }

    /**
     * Returns entries for backend servers whose drain state has changed. A drain ends only if the
     * list has reported the backend server as staying for 30 s.
     */
    List<Entry> changedEntries(List<RegisteredVm> vms) {
        List<Entry> changed = new ArrayList<>();
        for (RegisteredVm vm : vms) {
            if (vm.name().startsWith(BACKEND_PREFIX)) {
                String key =
                        ConfigurationKeys.PLATFORM_BACKEND_PREFIX
                                + vm.name().substring(BACKEND_PREFIX.length());
                Entry current = entries.get(key);
                boolean draining = current.value().equals(ConfigurationKeys.DRAINING);
                if (isChanged(key, vm.isLeaving(), draining)) {
                    long version = Math.max(current.version() + 1, clock.instant().toEpochMilli());
                    String value = vm.isLeaving() ? ConfigurationKeys.DRAINING : PRESENT;
                    changed.add(new Entry(key, version, value));
                }
            }
        }
        return changed;
    }

    private boolean isChanged(String key, boolean listedAsLeaving, boolean draining) {
        long nowNanos = clock.nanoTime();
        if (listedAsLeaving || !draining) {
            stayingSinceNanos.remove(key);
            return listedAsLeaving != draining;
        }
        return nowNanos - stayingSinceNanos.computeIfAbsent(key, k -> nowNanos)
                >= DRAIN_END_DELAY_NANOS;
    }
}
