package org.carobstage.testbed.measure;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import org.carobstage.model.Address;
import org.carobstage.runtime.Closer;
import org.carobstage.testbed.history.Entry;
import org.carobstage.testbed.history.History;
import org.carobstage.testbed.history.Operation.Outcome;
import org.carobstage.testbed.history.Violation;
import org.carobstage.testbed.load.CallerClient;
import org.carobstage.testbed.load.CallerRequest;
import org.carobstage.testbed.load.CallerResponse;
import org.carobstage.testbed.load.DirectClient;
import org.carobstage.testbed.load.LoadPlan;
import org.carobstage.testbed.load.LoadResults;
import org.carobstage.testbed.load.OpenLoopLoadGenerator;
import org.carobstage.testbed.load.Workload;

/** Connections to running entry VMs and one database group, for benchmarks. */
public final class TestEnvironment implements AutoCloseable {
    private static final int MAX_PRINTED_VIOLATIONS = 5;
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(100);
    private static final int MAX_ATTEMPTS = 100;

    private final String group;
    private final List<Address> instanceAddresses;
    private final List<CallerClient> entryVmClients;
    private final Closer closer = Closer.empty();

    private TestEnvironment(String group, List<Address> entries, List<Address> instances) {
        this.group = group;
        this.instanceAddresses = List.copyOf(instances);
        this.entryVmClients =
                entries.stream().map(address -> closer.add(CallerClient.of(address))).toList();
    }

    /**
     * Connects to the processes and creates the table and its index if they are missing.
     *
     * @param group the database group
     * @param entries the addresses at which the entry VMs accept callers
     * @param instances the addresses of the instances
     * @return the environment
     */
    public static TestEnvironment of(String group, List<Address> entries, List<Address> instances) {
        requireNonNull(group, "group is null");
        TestEnvironment environment = new TestEnvironment(group, entries, instances);
        environment.write(Entry.CREATE_TABLE);
        environment.write(Entry.CREATE_INDEX);
        return environment;
    }

    /**
     * Returns the clients of the entry VMs.
     *
     * @return one client per entry VM
     */
    public List<CallerClient> entryVmClients() {
        return entryVmClients;
    }

    /**
     * Returns the name of the database group.
     *
     * @return the group's name
     */
    public String group() {
        return group;
    }

    /**
     * Returns the addresses of the instances.
     *
     * @return the addresses
     */
    public List<Address> instanceAddresses() {
        return instanceAddresses;
    }

    /**
     * Returns a session token that covers the writes of this environment's setup.
     *
     * @return the session token
     */
    public String sessionToken() {
        return write("DELETE FROM entry WHERE id < 0").sessionToken().orElseThrow();
    }

    /**
     * Runs a load through the entry VMs.
     *
     * @param plan the load plan
     * @param directClients clients for requests sent directly to instances, for comparison; may be
     *     empty
     * @param history the history to which all operations are added
     * @return the results
     */
    public LoadResults runLoad(LoadPlan plan, List<DirectClient> directClients, History history) {
        return OpenLoopLoadGenerator.run(plan, entryVmClients, directClients, history);
    }

    /**
     * Checks a history against the table's contents at the primary and prints the first violations.
     *
     * @param history the operations since the table was created
     * @return the violations
     */
    public List<Violation> checkHistory(History history) {
        history.setFinalEntries(entriesAtPrimary());
        List<Violation> violations = history.check();
        violations.stream().limit(MAX_PRINTED_VIOLATIONS).forEach(System.err::println);
        return violations;
    }

    /**
     * Opens connections to the replicas.
     *
     * @param connections the number of connections per replica
     * @return one client per replica
     */
    public List<DirectClient> connectToReplicas(int connections) {
        return instanceAddresses.stream()
                .map(address -> closer.add(DirectClient.of(address, connections)))
                .filter(client -> !client.isPrimary())
                .toList();
    }

    @Override
    public void close() {
        closer.close();
    }

    private List<Entry> entriesAtPrimary() {
        DirectClient primary =
                instanceAddresses.stream()
                        .map(address -> closer.add(DirectClient.of(address, 1)))
                        .filter(DirectClient::isPrimary)
                        .max((x, y) -> x.term().compareTo(y.term()))
                        .orElseThrow();
        return primary.listAllEntries();
    }

    private CallerResponse write(String sql) {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            CallerResponse response =
                    entryVmClients.get(0).send(newRequest(sql)).toCompletableFuture().join();
            if (response.outcome() == Outcome.DONE) {
                return response;
            }
            LockSupport.parkNanos(RETRY_INTERVAL.toNanos());
        }
        throw new IllegalStateException("no write was acknowledged in group " + group);
    }

    private CallerRequest newRequest(String sql) {
        return new CallerRequest(
                Workload.WRITES.service(),
                "draft-save",
                group,
                sql,
                List.of(),
                Optional.empty(),
                Optional.empty());
    }
}
