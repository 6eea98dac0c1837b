package org.carobstage.platform;

import java.util.List;

/** The JSON messages between an entry VM and the platform. */
public final class PlatformMessages {
    private PlatformMessages() {}

    /**
     * A request that only names a key.
     *
     * @param key the key
     */
    public record KeyRequest(String key) {}

    /**
     * A request to replace the value of a key if the key has the expected version.
     *
     * @param key the key
     * @param expectedVersion the version that the key must have
     * @param value the new value
     */
    public record CompareAndSwapRequest(String key, long expectedVersion, String value) {}

    /**
     * The response to a {@link CompareAndSwapRequest}.
     *
     * @param swapped true if the value was replaced
     * @param entry the current entry
     */
    public record CompareAndSwapResponse(boolean swapped, Entry entry) {}

    /**
     * A request to wait for changes under a prefix.
     *
     * @param prefix the prefix of the keys
     * @param afterRevision the revision of the last change seen
     * @param waitMillis the maximum wait in ms
     */
    public record WatchRequest(String prefix, long afterRevision, long waitMillis) {}

    /**
     * A request to acquire or renew a lease.
     *
     * @param key the key
     * @param holder the name of the holder
     * @param ttlMillis how long the lease lasts in ms
     */
    public record LeaseRequest(String key, String holder, long ttlMillis) {}

    /**
     * The response to a {@link LeaseRequest}.
     *
     * @param granted true if granted
     */
    public record GrantedResponse(boolean granted) {}

    /**
     * A VM in the list.
     *
     * @param name the name
     * @param leaving true if the VM is about to leave
     * @param peer the peer address of its process, or null
     */
    public record Vm(String name, boolean leaving, String peer) {}

    /**
     * The list of VMs.
     *
     * @param vms the VMs
     */
    public record VmsResponse(List<Vm> vms) {}
}
