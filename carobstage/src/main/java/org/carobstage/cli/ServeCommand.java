package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.carobstage.event.LogSetup;
import org.carobstage.node.Node;
import org.carobstage.settings.Settings;
import org.carobstage.settings.SettingsReader;

/** Runs the process of an entry VM until the process is terminated. */
@Parameters(commandDescription = "Run the process of an entry VM")
final class ServeCommand implements Command {
    @Parameter(names = "--settings", required = true, description = "INI file of the process")
    private Path file;

    @Override
    public ExitCode run(Console console) {
        Settings settings = SettingsReader.read(file);
        LogSetup.apply(settings.log().format(), settings.log().level());
        Node node = Node.of(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(node::close, "shutdown"));
        console.out().println("callers " + node.callerAddress());
        console.out().println("operators " + node.operatorAddress());
        blockUntilInterrupted(new CountDownLatch(1));
        return ExitCode.OK;
    }

    private static void blockUntilInterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
