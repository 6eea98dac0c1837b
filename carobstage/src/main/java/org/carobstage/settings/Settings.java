package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

/**
 * The checked settings of an entry VM's process.
 *
 * @param vm which VM this is
 * @param caller how callers reach it
 * @param operator how operators and the platform's balancer reach it
 * @param platform how it reaches the platform
 * @param session what signs session tokens
 * @param stop how it stops
 * @param log how it logs
 */
public record Settings(
        VmSettings vm,
        CallerSettings caller,
        OperatorSettings operator,
        PlatformSettings platform,
        SessionSettings session,
        ShutdownSettings shutdown,
        LogSettings log) {
    /** Checks the settings. */
    public Settings {
        requireNonNull(vm, "vm is null");
        requireNonNull(caller, "caller is null");
        requireNonNull(operator, "operator is null");
        requireNonNull(platform, "platform is null");
        requireNonNull(session, "session is null");
        requireNonNull(shutdown, "stop is null");
        requireNonNull(log, "log is null");
    }
}
