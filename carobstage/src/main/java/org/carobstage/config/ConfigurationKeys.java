package org.carobstage.config;

import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;

/** The keys of the configuration entries. */
public final class ConfigurationKeys {
    /** The prefix of all configuration keys in the platform's key-value service. */
    public static final String PREFIX = "config/";

    /** The prefix of the keys of team documents. */
    public static final String DOCUMENT_PREFIX = PREFIX + "documents/";

    /** The prefix of the keys of groups. */
    public static final String GROUP_PREFIX = PREFIX + "groups/";

    /** The prefix of the keys of drains that operators request. */
    public static final String DRAIN_PREFIX = PREFIX + "drains/";

    /** The prefix of the keys of the primaries that operators request. */
    public static final String PROMOTION_PREFIX = PREFIX + "promotions/";

    /** The prefix of drain entries derived from the platform's list; only peers exchange them. */
    public static final String PLATFORM_BACKEND_PREFIX = "list/backend/";

    /** The value of an active drain; any other value ends the drain. */
    public static final String DRAINING = "draining";

    private ConfigurationKeys() {}

    /**
     * Returns the key of the drain of a backend server.
     *
     * @param group the backend server's group
     * @param instance the backend server's instance
     * @return the key
     */
    public static String drainKey(GroupId group, InstanceId instance) {
        return DRAIN_PREFIX + group + "/" + instance;
    }
}
