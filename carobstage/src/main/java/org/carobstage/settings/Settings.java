package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

/**
 * The validated settings of an entry VM's process.
 *
 * @param vm the identity of the entry VM
 * @param caller the interface for callers
 * @param operator the interface for operators and the platform's load balancer
 * @param platform the connection to the platform
 * @param session the signing keys of session tokens
 * @param shutdown the phases of a graceful shutdown
 * @param log the log settings
 */
public record Settings(
        VmSettings vm,
        CallerSettings caller,
        OperatorSettings operator,
        PlatformSettings platform,
        SessionSettings session,
        ShutdownSettings shutdown,
        LogSettings log) {
    /** Rejects null components. */
    public Settings {
        requireNonNull(vm, "vm is null");
        requireNonNull(caller, "caller is null");
        requireNonNull(operator, "operator is null");
        requireNonNull(platform, "platform is null");
        requireNonNull(session, "session is null");
        requireNonNull(shutdown, "shutdown is null");
        requireNonNull(log, "log is null");
    }
}
