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

/** The state of the key-value service and of the list of VMs. */
public final class PlatformStore {
    private static final int MAX_VALUE_BYTES = 1_000_000;

    private final LongSupplier millis;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Long> revisions = new HashMap<>();
    private final Map<String, Held> leases = new HashMap<>();
    private final Map<String, Vm> vms = new HashMap<>();
    private long revision;
    private long callCount;

    private PlatformStore(LongSupplier millis) {
        this.millis = millis;
    }

    /**
     * Creates a store without keys.
     *
     * @param millis the time in ms
     * @return the store
     */
    public static PlatformStore empty(LongSupplier millis) {
        return new PlatformStore(millis);
    }

    /**
     * Reads a key.
     *
     * @param key the key
     * @return the entry
     */
    public synchronized Entry get(String key) {
        callCount++;
        return entries.getOrDefault(key, Entry.absent(key));
    }

    /**
     * Changes a key if its version is the expected one.
     *
     * @param swap the change
     * @return what stands now
     */
    public synchronized CompareAndSwapResponse compareAndSwap(CompareAndSwapRequest swap) {
        Entry current = get(swap.key());
        boolean fits =
                current.version() == swap.expectedVersion()
                        && swap.value().length() <= MAX_VALUE_BYTES;
        if (!fits) {
            return new CompareAndSwapResponse(false, current);
        }
        Entry next = new Entry(swap.key(), current.version() + 1, swap.value());
        entries.put(swap.key(), next);
        revisions.put(swap.key(), ++revision);
        return new CompareAndSwapResponse(true, next);
    }

    /**
     * Returns what changed under a prefix.
     *
     * @param prefix the prefix
     * @param afterRevision the last revision seen
     * @return the changes, possibly none
     */
    public synchronized Changes changesSince(String prefix, long afterRevision) {
        List<Entry> changed =
                revisions.entrySet().stream()
                        .filter(e -> e.getKey().startsWith(prefix))
                        .filter(e -> e.getValue() > afterRevision)
                        .map(e -> entries.get(e.getKey()))
                        .toList();
        return new Changes(Math.max(revision, afterRevision), changed);
    }

    /** Counts a call that is not a read of one key. */
    public synchronized void recordCall() {
        callCount++;
    }

    /**
     * Returns how many calls were counted.
     *
     * @return the number of calls
     */
    public synchronized long callCount() {
        return callCount;
    }

    /**
     * Grants or refuses a lease.
     *
     * @param lease the request
     * @return true if granted
     */
    public synchronized boolean tryAcquireLease(LeaseRequest lease) {
        callCount++;
        long now = millis.getAsLong();
        Held held = leases.get(lease.key());
        if (held != null && held.until() > now && !held.holder().equals(lease.holder())) {
            return false;
        }
        leases.put(lease.key(), new Held(lease.holder(), now + lease.ttlMillis()));
        return true;
    }

    /**
     * Puts a VM into the list, or replaces it.
     *
     * @param vm the VM
     */
    public synchronized void registerVm(Vm vm) {
        vms.put(vm.name(), vm);
    }

    /**
     * Takes a VM from the list.
     *
     * @param name the VM
     */
    public synchronized void deregisterVm(String name) {
        vms.remove(name);
    }

    /**
     * Reads the list of VMs.
     *
     * @return the VMs
     */
    public synchronized List<Vm> vms() {
        callCount++;
        return List.copyOf(vms.values());
    }

    private record Held(String holder, long until) {}
}
