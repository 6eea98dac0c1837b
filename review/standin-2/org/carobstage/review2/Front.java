package org.carobstage.review2;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the system, started with the command of the deploy file. */
final class Front {
    final String name;
    final String domain;
    final int port = freePort();
    final int readyPort = freePort();
    private final Path settings;
    private final Path log;
    private Process process;

    Front(Path work, String name, String domain, int storePort, int ordersPort) throws IOException {
        this.name = name;
        this.domain = domain;
        settings = work.resolve(name + ".ini");
        log = work.resolve(name + ".log");
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "[vm]",
                        "id = " + name,
                        "domain = " + domain,
                        "[front]",
                        "listen = 127.0.0.1:" + port,
                        "readiness-listen = 127.0.0.1:" + readyPort,
                        "metrics-listen = 127.0.0.1:0",
                        "[platform]",
                        "store = 127.0.0.1:" + storePort,
                        "orders = 127.0.0.1:" + ordersPort,
                        "enforces-fencing = yes",
                        "[stop]",
                        "limit = 6 s",
                        ""));
    }

    /** Kills the processes when this program ends, however it ends. */
    static void killAtExit(List<Front> fronts) {
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    for (Front front : fronts) {
                                        if (front.process != null) {
                                            front.process.destroyForcibly();
                                        }
                                    }
                                }));
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(new File(System.getProperty("root")));
        builder.environment().put("CAROBSTAGE_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    void signalTerminate() {
        process.destroy();
    }

    /** Sends SIGTERM; returns whether the process ended within a time. */
    boolean terminate(int seconds) throws InterruptedException {
        process.destroy();
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    boolean isReady() {
        try {
            java.net.HttpURLConnection call =
                    (java.net.HttpURLConnection)
                            java.net.URI.create(
                                            "http://127.0.0.1:" + readyPort + "/api/readiness")
                                    .toURL()
                                    .openConnection();
            call.setConnectTimeout(900);
            call.setReadTimeout(900);
            return call.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean awaitReady(int seconds) throws InterruptedException {
        for (int i = 0; i < seconds * 10; i++) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    List<String> logLines(String containing) throws IOException {
        List<String> found = new ArrayList<>();
        for (String line : Files.readAllLines(log, java.nio.charset.StandardCharsets.ISO_8859_1)) {
            if (line.contains(containing)) {
                found.add(line);
            }
        }
        return found;
    }

    private static List<String> command() throws IOException {
        Path deploy = Path.of(System.getProperty("root"), "deploy", "system.toml");
        for (String line : Files.readAllLines(deploy)) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(7, line.length() - 1).split(" "));
            }
        }
        throw new IOException("no run command in deploy/system.toml");
    }

    private static int freePort() {
        try (ServerSocket socket =
                new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
