package org.carobstage.config;

import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;

/** The names of the entries that make up the configuration. */
public final class ConfigurationKeys {
    /** The prefix of all keys in the platform's key-value service. */
    public static final String PREFIX = "config/";

    /** The prefix of the keys of team documents. */
    public static final String DOCUMENTS = PREFIX + "documents/";

    /** The prefix of the keys of groups. */
    public static final String GROUPS = PREFIX + "groups/";

    /** The prefix of the keys of drains that operators order. */
    public static final String DRAINS = PREFIX + "drains/";

    /** The prefix of the keys of the primaries that operators order. */
    public static final String PROMOTIONS = PREFIX + "promotions/";

    /** The prefix of entries that stand for the platform's list, spread between peers only. */
    public static final String PLATFORM_BACKENDS = "list/backend/";

    /** The value of a drain that is in force; any other value ends it. */
    public static final String DRAINING = "draining";

    private ConfigurationKeys() {}

    /**
     * Returns the key of the drain of a backend server.
     *
     * @param group its group
     * @param instance its instance
     * @return the key
     */
    public static String drainKey(GroupId group, InstanceId instance) {
        return DRAINS + group + "/" + instance;
    }
}
