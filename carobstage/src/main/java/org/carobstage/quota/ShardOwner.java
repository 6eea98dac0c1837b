package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.carobstage.error.CodedException;
import org.carobstage.json.StreamingJson;
import org.carobstage.model.Address;
import org.carobstage.model.VmId;
import org.carobstage.store.LeaseId;

/**
 * The value of the store key of a shard.
 *
 * @param vm the VM of the owner
 * @param run the run of the owner, which differs from that of earlier processes on its VM
 * @param era the era of the store in which the value was written
 * @param lease the lease that the key was bound to; a key under an earlier lease of the same
 *     process ends without notice
 * @param address the peer address of the owner
 */
record ShardOwner(VmId vm, String run, long era, LeaseId lease, Address address) {
    ShardOwner {
        requireNonNull(vm, "vm is null");
        requireNonNull(run, "run is null");
        requireNonNull(lease, "lease is null");
        requireNonNull(address, "address is null");
    }

    boolean isProcess(VmId otherVm, String otherRun) {
        return vm.equals(otherVm) && run.equals(otherRun);
    }

    /**
     * Returns whether this is an earlier run of a process. It has ended if the process listens at
     * its address, which no two processes can do at the same time.
     */
    boolean isEarlierRunOf(VmId otherVm, String otherRun, Address listening) {
        return vm.equals(otherVm) && !run.equals(otherRun) && address.equals(listening);
    }

    String format() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("vm", vm.value());
        fields.put("run", run);
        fields.put("era", era);
        fields.put("lease", lease.value());
        fields.put("peer", address.toString());
        return StreamingJson.writeString(fields);
    }

    /**
     * Parses a value.
     *
     * @param text the value of the key
     * @return the owner
     * @throws IllegalArgumentException if the text is not the value of an owner
     */
    static ShardOwner parse(String text) {
        JsonNode fields;
        try {
            fields = StreamingJson.readTree(text.getBytes(StandardCharsets.UTF_8));
        } catch (CodedException e) {
            throw new IllegalArgumentException("not the value of an owner", e);
        }
        if (fields == null
                || !fields.path("run").isTextual()
                || !fields.path("era").canConvertToLong()
                || !fields.path("lease").canConvertToLong()) {
            throw new IllegalArgumentException("not the value of an owner");
        }
        return new ShardOwner(
                VmId.of(fields.path("vm").asText()),
                fields.path("run").asText(),
                fields.path("era").asLong(),
                new LeaseId(fields.path("lease").asLong()),
                Address.parseIp(fields.path("peer").asText()));
    }
}
