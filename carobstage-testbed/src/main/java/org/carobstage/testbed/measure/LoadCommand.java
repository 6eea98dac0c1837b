package org.carobstage.testbed.measure;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carobstage.model.Address;
import org.carobstage.testbed.history.History;
import org.carobstage.testbed.history.Violation;
import org.carobstage.testbed.load.DirectClient;
import org.carobstage.testbed.load.LoadPlan;
import org.carobstage.testbed.load.LoadResults;
import org.carobstage.testbed.load.LoadResultsWriter;
import org.carobstage.testbed.load.Workload;

/** Generates one load and checks the resulting history. */
@Parameters(commandDescription = "Generate load on entry VMs and check the operation history")
public final class LoadCommand {
    private static final int DIRECT_CONNECTIONS = 2;

    @Parameter(
            names = "--entry",
            required = true,
            description = "caller address of an entry VM, as host:port")
    private List<String> entries = new ArrayList<>();

    @Parameter(
            names = "--instance",
            required = true,
            description = "address of an instance, as host:port")
    private List<String> instances = new ArrayList<>();

    @Parameter(names = "--group", description = "database group")
    private String group = "varas-1";

    @Parameter(names = "--workload", description = "AGRESTE, LUZON, SHORT_READS or WRITES")
    private Workload workload = Workload.AGRESTE;

    @Parameter(names = "--rate", description = "requests per second outside peak periods")
    private double requestsPerSecond = 200;

    @Parameter(names = "--seconds", description = "duration of the load, in s")
    private long seconds = 10;

    @Parameter(names = "--seed", description = "random seed for arrival times and request kinds")
    private long seed = 1;

    @Parameter(
            names = "--direct",
            description = "fraction of the requests sent directly to replicas")
    private double directShare = 0;

    @Parameter(names = "--json", description = "JSON file for the results")
    private Path resultFile = Path.of("load.json");

    /**
     * Runs the load.
     *
     * @return true if the history contains no violations
     */
    public boolean run() {
        List<Address> entryAddresses = entries.stream().map(Address::parse).toList();
        List<Address> instanceAddresses = instances.stream().map(Address::parse).toList();
        LoadPlan plan =
                new LoadPlan(
                        workload,
                        group,
                        requestsPerSecond,
                        Duration.ofSeconds(seconds),
                        seed,
                        directShare);
        try (TestEnvironment environment =
                TestEnvironment.of(group, entryAddresses, instanceAddresses)) {
            History history = History.empty();
            List<DirectClient> directClients =
                    directShare > 0 ? environment.connectToReplicas(DIRECT_CONNECTIONS) : List.of();
            LoadResults results = environment.runLoad(plan, directClients, history);
            List<Violation> violations = environment.checkHistory(history);
            LoadResultsWriter.write(resultFile, plan, results, violations);
            return violations.isEmpty();
        }
    }
}
