package org.carobstage.platform;

import java.util.List;

/** The JSON messages between an entry VM and the platform. */
public final class PlatformMessages {
    private PlatformMessages() {}

    /**
     * Names a key.
     *
     * @param key the key
     */
    public record KeyRequest(String key) {}

    /**
     * Changes a key.
     *
     * @param key the key
     * @param expectedVersion the version that must stand
     * @param value the new value
     */
    public record CompareAndSwapRequest(String key, long expectedVersion, String value) {}

    /**
     * Answers a change.
     *
     * @param swapped true if it took effect
     * @param entry the entry that stands now
     */
    public record CompareAndSwapResponse(boolean swapped, Entry entry) {}

    /**
     * Watches keys.
     *
     * @param prefix the prefix of the keys
     * @param afterRevision the last revision seen
     * @param waitMillis the longest wait in ms
     */
    public record WatchRequest(String prefix, long afterRevision, long waitMillis) {}

    /**
     * Takes a lease.
     *
     * @param key the key
     * @param holder the holder
     * @param ttlMillis how long it lasts in ms
     */
    public record LeaseRequest(String key, String holder, long ttlMillis) {}

    /**
     * Answers a request for a lease.
     *
     * @param granted true if granted
     */
    public record GrantedResponse(boolean granted) {}

    /**
     * A VM in the list.
     *
     * @param name its name
     * @param leaving true if it is about to leave
     * @param peer its peer address, or null
     */
    public record Vm(String name, boolean leaving, String peer) {}

    /**
     * The list of VMs.
     *
     * @param vms the VMs
     */
    public record VmsResponse(List<Vm> vms) {}
}
