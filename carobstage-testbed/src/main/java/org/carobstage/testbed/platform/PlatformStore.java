package org.carobstage.testbed.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.carobstage.platform.Entry;
import org.carobstage.platform.Platform.Changes;
import org.carobstage.platform.PlatformMessages.CompareAndSwapRequest;
import org.carobstage.platform.PlatformMessages.CompareAndSwapResponse;
import org.carobstage.platform.PlatformMessages.LeaseRequest;
import org.carobstage.platform.PlatformMessages.Vm;

/** The state of the key-value service and the VM registry. */
public final class PlatformStore {
    private static final int MAX_VALUE_BYTES = 1_000_000;

    private final LongSupplier clockMillis;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Long> lastRevisions = new HashMap<>();
    private final Map<String, HeldLease> leases = new HashMap<>();
    private final Map<String, Vm> vms = new HashMap<>();
    private long revision;
    private long callCount;

    private PlatformStore(LongSupplier clockMillis) {
        this.clockMillis = clockMillis;
    }

    /**
     * Creates a store without keys.
     *
     * @param clockMillis supplies the time in ms
     * @return the store
     */
    public static PlatformStore empty(LongSupplier clockMillis) {
        return new PlatformStore(clockMillis);
    }

    /**
     * Returns the entry of a key.
     *
     * @param key the key
     * @return the entry, of version 0 if the key is absent
     */
    public synchronized Entry get(String key) {
        callCount++;
        return entries.getOrDefault(key, Entry.absent(key));
    }

    /**
     * Sets the value of a key if its version is the expected one.
     *
     * @param request the key, the expected version and the new value
     * @return whether the value was set, and the current entry
     */
    public synchronized CompareAndSwapResponse compareAndSwap(CompareAndSwapRequest request) {
        Entry current = get(request.key());
        boolean isAccepted =
                current.version() == request.expectedVersion()
                        && request.value().length() <= MAX_VALUE_BYTES;
        if (!isAccepted) {
            return new CompareAndSwapResponse(false, current);
        }
        Entry updated = new Entry(request.key(), current.version() + 1, request.value());
        entries.put(request.key(), updated);
        lastRevisions.put(request.key(), ++revision);
        return new CompareAndSwapResponse(true, updated);
    }

    /**
     * Returns the entries under a prefix that changed after a revision.
     *
     * @param prefix the prefix
     * @param afterRevision the last revision that the caller has received
     * @return the changed entries, possibly none, and the revision to watch from next
     */
    public synchronized Changes changesSince(String prefix, long afterRevision) {
        List<Entry> changed =
                lastRevisions.entrySet().stream()
                        .filter(e -> e.getKey().startsWith(prefix))
                        .filter(e -> e.getValue() > afterRevision)
                        .map(e -> entries.get(e.getKey()))
                        .toList();
        return new Changes(Math.max(revision, afterRevision), changed);
    }

    /** Counts a call that the store does not count itself, such as a watch. */
    public synchronized void recordCall() {
        callCount++;
    }

    /**
     * Returns the number of calls counted.
     *
     * @return the number of calls
     */
    public synchronized long callCount() {
        return callCount;
    }

    /**
     * Grants or renews a lease unless another holder has it.
     *
     * @param request the key, the holder and the time to live
     * @return true if the lease was granted
     */
    public synchronized boolean tryAcquireLease(LeaseRequest request) {
        callCount++;
        long nowMillis = clockMillis.getAsLong();
        HeldLease heldLease = leases.get(request.key());
        if (heldLease != null
                && heldLease.expiresAtMillis() > nowMillis
                && !heldLease.holder().equals(request.holder())) {
            return false;
        }
        leases.put(request.key(), new HeldLease(request.holder(), nowMillis + request.ttlMillis()));
        return true;
    }

    /**
     * Adds a VM to the registry or replaces its entry.
     *
     * @param vm the VM
     */
    public synchronized void registerVm(Vm vm) {
        vms.put(vm.name(), vm);
    }

    /**
     * Removes a VM from the registry.
     *
     * @param name the name of the VM
     */
    public synchronized void deregisterVm(String name) {
        vms.remove(name);
    }

    /**
     * Returns the registered VMs.
     *
     * @return the VMs
     */
    public synchronized List<Vm> vms() {
        callCount++;
        return List.copyOf(vms.values());
    }

    private record HeldLease(String holder, long expiresAtMillis) {}
}
