package org.carobstage.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.carobstage.document.DocumentReader;
import org.carobstage.error.CodedException;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.platform.Entry;

/** The configuration and the newest known version of its entries; older versions are ignored. */
final class ConfigurationEntries {
    private final Map<String, Entry> newest = new HashMap<>();
    private final BiConsumer<String, String> onInvalid;
    private Configuration configuration = Configuration.empty();

    /**
     * Creates entries; {@code onInvalid} receives the key with the version and the error of each
     * invalid entry.
     */
    ConfigurationEntries(BiConsumer<String, String> onInvalid) {
        this.onInvalid = onInvalid;
    }

    /** Applies the entries that are newer than the known ones, and returns them. */
    List<Entry> merge(Collection<Entry> entries) {
        List<Entry> newer = new ArrayList<>();
        for (Entry entry : entries) {
            if (entry.version() > version(entry.key())) {
                put(entry);
                newer.add(entry);
            }
        }
        return newer;
    }

    Configuration configuration() {
        return configuration;
    }

    long version(String key) {
        Entry entry = newest.get(key);
        return entry == null ? 0 : entry.version();
    }

    Entry get(String key) {
        return newest.getOrDefault(key, Entry.absent(key));
    }

    private void put(Entry entry) {
        newest.put(entry.key(), entry);
        try {
            configuration = apply(entry);
        } catch (CodedException e) {
            onInvalid.accept(entry.key() + " version " + entry.version(), e.getMessage());
        }
    }

    private Configuration apply(Entry entry) {
        String key = entry.key();
        if (key.startsWith(ConfigurationKeys.DOCUMENT_PREFIX)) {
            return configuration.withDocument(DocumentReader.read(entry.value()));
        }
        if (key.startsWith(ConfigurationKeys.GROUP_PREFIX)) {
            return configuration.withGroup(GroupReader.read(entry.value()));
        }
        if (key.startsWith(ConfigurationKeys.PROMOTION_PREFIX)) {
            GroupId group = GroupId.of(key.substring(ConfigurationKeys.PROMOTION_PREFIX.length()));
            return configuration.withRequestedPrimary(group, InstanceId.of(entry.value().strip()));
        }
        boolean isDrain =
                key.startsWith(ConfigurationKeys.DRAIN_PREFIX)
                        || key.startsWith(ConfigurationKeys.PLATFORM_BACKEND_PREFIX);
        boolean draining = entry.value().lines().anyMatch(ConfigurationKeys.DRAINING::equals);
        return isDrain ? configuration.withDrain(key, draining) : configuration;
    }
}
