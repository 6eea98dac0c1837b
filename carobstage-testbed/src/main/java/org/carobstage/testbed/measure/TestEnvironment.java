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

/** Running entry VMs and one database group, ready for load. */
public final class TestEnvironment implements AutoCloseable {
    private static final int SHOWN_VIOLATIONS = 5;
    private static final Duration RETRY = Duration.ofMillis(100);
    private static final int TRIES = 100;

    private final String group;
    private final List<Address> instanceAddresses;
    private final List<CallerClient> entryVmClients;
    private final Closer closer = Closer.empty();

    private TestEnvironment(String group, List<Address> entries, List<Address> instances) {
        this.group = group;
        this.instanceAddresses = List.copyOf(instances);
        this.entryVmClients = entries.stream().map(a -> closer.add(CallerClient.of(a))).toList();
    }

    /**
     * Connects to the processes and creates the table if it is missing.
     *
     * @param group the database group
     * @param entries where the entry VMs listen to callers
     * @param instances where the instances listen
     * @return the stand
     */
    public static TestEnvironment of(String group, List<Address> entries, List<Address> instances) {
        requireNonNull(group, "group is null");
        TestEnvironment stand = new TestEnvironment(group, entries, instances);
        stand.write(Entry.CREATE_TABLE);
        stand.write(Entry.CREATE_INDEX);
        return stand;
    }

    /**
     * Returns the entry VMs.
     *
     * @return a client for each
     */
    public List<CallerClient> entryVmClients() {
        return entryVmClients;
    }

    /**
     * Returns the database group.
     *
     * @return the name
     */
    public String group() {
        return group;
    }

    /**
     * Returns where the instances listen.
     *
     * @return the addresses
     */
    public List<Address> instanceAddresses() {
        return instanceAddresses;
    }

    /**
     * Returns a session token that covers every write of this stand's setup.
     *
     * @return the token
     */
    public String sessionToken() {
        return write("DELETE FROM entry WHERE id < 0").sessionToken().orElseThrow();
    }

    /**
     * Runs a load through the entry VMs.
     *
     * @param plan the plan
     * @param direct the instances of the comparison, possibly none
     * @param history where every operation is added
     * @return the figures
     */
    public LoadResults runLoad(LoadPlan plan, List<DirectClient> direct, History history) {
        return OpenLoopLoadGenerator.run(plan, entryVmClients, direct, history);
    }

    /**
     * Reads the table at the primary and checks a history against it.
     *
     * @param history the operations since the table was created
     * @return the violations
     */
    public List<Violation> checkHistory(History history) {
        history.setFinalEntries(lastEntries());
        List<Violation> violations = history.check();
        violations.stream().limit(SHOWN_VIOLATIONS).forEach(System.err::println);
        return violations;
    }

    /**
     * Opens connections to the replicas.
     *
     * @param connections how many to each
     * @return a client for each replica
     */
    public List<DirectClient> connectToReplicas(int connections) {
        return instanceAddresses.stream()
                .map(a -> closer.add(DirectClient.of(a, connections)))
                .filter(client -> !client.isPrimary())
                .toList();
    }

    @Override
    public void close() {
        closer.close();
    }

    private List<Entry> lastEntries() {
        DirectClient primary =
                instanceAddresses.stream()
                        .map(a -> closer.add(DirectClient.of(a, 1)))
                        .filter(DirectClient::isPrimary)
                        .max((x, y) -> x.term().compareTo(y.term()))
                        .orElseThrow();
        return primary.listAllEntries();
    }

    private CallerResponse write(String sql) {
        for (int i = 0; i < TRIES; i++) {
            CallerResponse reply =
                    entryVmClients.get(0).send(call(sql)).toCompletableFuture().join();
            if (reply.outcome() == Outcome.DONE) {
                return reply;
            }
            LockSupport.parkNanos(RETRY.toNanos());
        }
        throw new IllegalStateException("no write is acknowledged in " + group);
    }

    private CallerRequest call(String sql) {
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
