package org.carobstage.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.Optional;
import java.util.ServiceLoader;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.event.LogFormat;
import org.carobstage.event.LogSetup;
import org.carobstage.front.PlatformAdapter;
import org.carobstage.front.ProxyServer;
import org.carobstage.front.ProxyServerSettings;
import sun.misc.Signal;

/** Runs a proxy server for client sessions until SIGTERM or SIGINT. */
@Parameters(commandDescription = "Run the proxy server for client sessions")
final class FrontCommand implements Command {
    private static final String SETTINGS_VARIABLE = "CAROBSTAGE_SETTINGS";

    @Parameter(
            names = "--settings",
            description = "INI file of the process; default: the file in " + SETTINGS_VARIABLE)
    private Path file;

    @Override
    public ExitCode run(Console console) {
        LogSetup.applyAsync(LogFormat.JSON, Level.INFO);
        Path path = Optional.ofNullable(file).orElseGet(FrontCommand::fileFromEnvironment);
        ProxyServerSettings settings = ProxyServerSettings.read(path);
        Logger logger = System.getLogger(FrontCommand.class.getName());
        PlatformAdapter adapter =
                factory()
                        .create(
                                settings,
                                e -> logger.log(Level.ERROR, "adapter callback failed", e));
        try (ProxyServer proxyServer = ProxyServer.launch(settings, adapter)) {
            Signal.handle(new Signal("TERM"), signal -> proxyServer.stop());
            Signal.handle(new Signal("INT"), signal -> proxyServer.stop());
            Signal.handle(new Signal("HUP"), signal -> reload(proxyServer, path, logger));
            proxyServer.awaitStop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.OK;
    }

    private static void reload(ProxyServer proxyServer, Path path, Logger logger) {
        try {
            ProxyServerSettings.read(path);
            proxyServer.recordSettingsReload();
        } catch (CodedException e) {
            logger.log(
                    Level.ERROR,
                    "settings file rejected on reload; the process keeps its settings",
                    e);
        }
    }

    private static Path fileFromEnvironment() {
        return Optional.ofNullable(System.getenv(SETTINGS_VARIABLE))
                .map(Path::of)
                .orElseThrow(
                        () ->
                                CodedException.of(
                                        ErrorCode.BAD_SETTINGS,
                                        "--settings is missing and "
                                                + SETTINGS_VARIABLE
                                                + " is not set"));
    }

    private static PlatformAdapter.Factory factory() {
        return ServiceLoader.load(PlatformAdapter.Factory.class)
                .findFirst()
                .orElseThrow(
                        () ->
                                CodedException.of(
                                        ErrorCode.INTERNAL, "no platform adapter is installed"));
    }
}
