package org.carobstage.testbed.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import java.sql.SQLException;
import java.util.concurrent.CountDownLatch;
import org.carobstage.model.Address;
import org.carobstage.model.InstanceId;
import org.carobstage.testbed.database.DatabaseInstance;
import org.carobstage.testbed.database.InstanceServer;
import org.carobstage.testbed.database.InstanceSettings;
import org.carobstage.testbed.measure.LoadCommand;
import org.carobstage.testbed.measure.MeasureCommand;
import org.carobstage.testbed.platform.PlatformServer;
import org.carobstage.testbed.platform.PlatformStore;

/** Entry point of the testbed's command line. */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs a command.
     *
     * @param args the command-line arguments
     * @throws InterruptedException if the program is interrupted
     * @throws SQLException if the SQL store can't be opened
     */
    public static void main(String[] args) throws InterruptedException, SQLException {
        PlatformCommand platform = new PlatformCommand();
        InstanceCommand instance = new InstanceCommand();
        LoadCommand load = new LoadCommand();
        MeasureCommand measure = new MeasureCommand();
        JCommander commander =
                JCommander.newBuilder()
                        .programName("testbed")
                        .addCommand("platform", platform)
                        .addCommand("instance", instance)
                        .addCommand("load", load)
                        .addCommand("measure", measure)
                        .build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        }
        if ("platform".equals(commander.getParsedCommand())) {
            printAddressAndBlock(platform.start());
        } else if ("instance".equals(commander.getParsedCommand())) {
            printAddressAndBlock(instance.start());
        } else if ("load".equals(commander.getParsedCommand())) {
            System.exit(load.run() ? 0 : 1);
        } else if ("measure".equals(commander.getParsedCommand())) {
            measure.run();
            System.exit(0);
        } else {
            commander.usage();
        }
    }

    private static void printAddressAndBlock(Address address) throws InterruptedException {
        System.out.println("listening " + address);
        new CountDownLatch(1).await();
    }

    private static final class PlatformCommand {
        @Parameter(names = "--listen", description = "host:port")
        private String listen = "127.0.0.1:0";

        Address start() {
            Executor executor = Executors.newCachedThreadExecutor();
            PlatformStore store = PlatformStore.empty(System::currentTimeMillis);
            return PlatformServer.of(store, Address.parse(listen), executor).address();
        }
    }

    private static final class InstanceCommand {
        @Parameter(names = "--listen", description = "host:port")
        private String listen = "127.0.0.1:0";

        @Parameter(names = "--id", required = true, description = "ID of the instance")
        private String id;

        @Parameter(names = "--slots", description = "maximum number of concurrent statements")
        private int slotCount = 3;

        @Parameter(names = "--connections", description = "maximum number of open connections")
        private int maxConnections = 20;

        @Parameter(names = "--open-ms", description = "time to open a connection, in ms")
        private long openDelayMillis = 10;

        @Parameter(names = "--lag-ms", description = "replication lag, in ms")
        private long replicationLagMillis = 0;

        @Parameter(names = "--service-ms", description = "time added to each statement, in ms")
        private long serviceTimeMillis = 0;

        Address start() throws SQLException {
            Executor executor = Executors.newCachedThreadExecutor();
            InstanceSettings settings =
                    new InstanceSettings(
                            InstanceId.of(id),
                            slotCount,
                            maxConnections,
                            openDelayMillis,
                            replicationLagMillis,
                            serviceTimeMillis);
            DatabaseInstance instance = DatabaseInstance.of(settings, System::currentTimeMillis);
            return InstanceServer.of(instance, Address.parse(listen), executor).address();
        }
    }
}
