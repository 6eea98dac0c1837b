package org.carobstage.cli;

import org.carobstage.config.ConfigurationKeys;
import org.carobstage.config.ConfigurationWatch;
import org.carobstage.config.GroupReader;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.GroupSpec;
import org.carobstage.platform.CasResult;
import org.carobstage.platform.Entry;

/**
 * An operator's request to drain or promote an instance, stored as a configuration entry.
 *
 * @param group the id of the instance's group
 * @param instance the id of the instance
 * @param key the key of the configuration entry
 * @param value the value of the configuration entry
 */
record InstanceOperation(String group, String instance, String key, String value) {
    private static final String DRAIN_ENDED = "staying";

    static InstanceOperation drain(String group, String instance, boolean end) {
        String key = ConfigurationKeys.DRAIN_PREFIX + group + "/" + instance;
        return new InstanceOperation(
                group, instance, key, end ? DRAIN_ENDED : ConfigurationKeys.DRAINING);
    }

    static InstanceOperation promote(String group, String instance) {
        return new InstanceOperation(
                group, instance, ConfigurationKeys.PROMOTION_PREFIX + group, instance);
    }

    ExitCode submit(ConfigurationStore store, Console console) {
        requireInstance(store);
        Entry current = store.get(key);
        CasResult result = store.put(key, current.version(), value);
        if (result instanceof CasResult.Swapped swapped) {
            console.out().println(key + " version " + swapped.entry().version() + ": " + value);
            return ExitCode.OK;
        }
        console.err().println("not stored: " + result);
        return result instanceof CasResult.Conflict ? ExitCode.CONFLICT : ExitCode.UNAVAILABLE;
    }

    private void requireInstance(ConfigurationStore store) {
        Entry entry = store.get(ConfigurationWatch.GROUP_PREFIX + group);
        if (entry.version() == 0) {
            throw CodedException.of(ErrorCode.UNKNOWN_GROUP, "unknown group: " + group);
        }
        GroupSpec spec = GroupReader.read(entry.value());
        if (spec.instances().stream().noneMatch(i -> i.id().value().equals(instance))) {
            throw CodedException.of(
                    ErrorCode.BAD_SETTINGS, "no instance " + instance + " in group " + group);
        }
    }
}
