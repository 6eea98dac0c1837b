package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.carobstage.event.LogSetup;
import org.carobstage.node.Node;
import org.carobstage.settings.Settings;
import org.carobstage.settings.SettingsReader;

/** Runs the process of an entry VM until it is told to stop. */
@Parameters(commandDescription = "Run the process of an entry VM")
final class ServeCommand implements Command {
    @Parameter(names = "--settings", required = true, description = "INI file of the process")
    private Path settings;

    @Override
    public ExitCode run() {
        Settings checked = SettingsReader.read(settings);
        LogSetup.apply(checked.log().format(), checked.log().level());
        Node node = Node.of(checked);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    node.close();
                                    stopped.countDown();
                                }));
        System.out.println("callers " + node.callerAddress());
        System.out.println("operators " + node.operatorAddress());
        await(stopped);
        return ExitCode.OK;
    }

    private static void await(CountDownLatch stopped) {
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
