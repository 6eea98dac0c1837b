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

/** Runs one load and checks its history. */
@Parameters(commandDescription = "Send a load to entry VMs and check what callers saw")
public final class LoadCommand {
    private static final int DIRECT_CONNECTIONS = 2;

    @Parameter(names = "--entry", required = true, description = "host:port for callers")
    private List<String> entries = new ArrayList<>();

    @Parameter(names = "--instance", required = true, description = "host:port of an instance")
    private List<String> instances = new ArrayList<>();

    @Parameter(names = "--group", description = "database group")
    private String group = "varas-1";

    @Parameter(names = "--workload", description = "AGRESTE, LUZON, SHORT_READS or WRITES")
    private Workload workload = Workload.AGRESTE;

    @Parameter(names = "--rate", description = "requests per second outside a rush")
    private double rate = 200;

    @Parameter(names = "--seconds", description = "how long requests arrive, in s")
    private long seconds = 10;

    @Parameter(names = "--seed", description = "seed of arrivals and kinds")
    private long seed = 1;

    @Parameter(names = "--direct", description = "part of the arrivals that goes to replicas")
    private double direct = 0;

    @Parameter(names = "--json", description = "file for the result")
    private Path json = Path.of("load.json");

    /**
     * Runs the load.
     *
     * @return true if the history breaks no promise
     */
    public boolean run() {
        List<Address> callers = entries.stream().map(Address::parse).toList();
        List<Address> databases = instances.stream().map(Address::parse).toList();
        LoadPlan plan =
                new LoadPlan(workload, group, rate, Duration.ofSeconds(seconds), seed, direct);
        try (TestEnvironment stand = TestEnvironment.of(group, callers, databases)) {
            History history = History.empty();
            List<DirectClient> straight =
                    direct > 0 ? stand.connectToReplicas(DIRECT_CONNECTIONS) : List.of();
            LoadResults figures = stand.runLoad(plan, straight, history);
            List<Violation> violations = stand.checkHistory(history);
            LoadResultsWriter.write(json, plan, figures, violations);
            return violations.isEmpty();
        }
    }
}
