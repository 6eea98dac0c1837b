package org.carobstage.review2;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.carobstage.adapter.standin.ReviewConfiguration;
import org.carobstage.adapter.standin.StandInObserver;
import org.carobstage.adapter.standin.StandInPlatform;

/**
 * A client reads an answer of several rows over a link of 20 Mbit/s. One of two processes is
 * stopped with SIGTERM shortly before.
 */
final class StopCase {
    private static final int ROW_BYTES = 1_000_000;
    private static final int ROWS = 7;
    private static final int LINK_BYTES_PER_MILLI = 2_500;
    private static final int SMALL_WINDOW_BYTES = 65_536;
    private static final int READ_AFTER_TERM_MILLIS = 1_900;
    private static final int CLIENT_DEADLINE_MILLIS = 8_000;
    private static final double ROUTE_TIMEOUT_S = 3;
    private static final double GRACE_S = 6;
    private static final int ROUNDS = 3;

    /** The route of portal-agenda of agenda-coral. */
    private static final String CONFIGURATION =
            "{\"version\":1,\"routes\":[{\"database\":\"portal\",\"type\":\"bounded_staleness\","
                    + "\"backend\":\"forms\",\"timeout_ms\":3000,\"target_latency_ms\":1500,"
                    + "\"priority\":2,\"max_staleness_ms\":1500}],"
                    + "\"services\":[{\"name\":\"forms\",\"max_conns\":82}],"
                    + "\"limits\":{\"tx_idle_ms\":3000}}";

    private final Report report;
    private final List<Front> fronts;

    private StopCase(Report report, List<Front> fronts) {
        this.report = report;
        this.fronts = fronts;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Report report = new Report(Path.of(args[0]));
        List<Front> fronts = new ArrayList<>();
        Front.killAtExit(fronts);
        int status = 2;
        try {
            status = new StopCase(report, fronts).run(trouble);
        } catch (Exception e) {
            report.say("could not run: " + e);
        }
        System.exit(status);
    }

    private int run(boolean trouble) throws Exception {
        EventLoop loop = new NioEventLoopGroup(1).next();
        Map<Integer, RowProxy> proxies = new ConcurrentHashMap<>();
        StandInPlatform.Shape shape =
                new StandInPlatform.Shape(
                        1, 6, 82, Duration.ofMillis(12), Duration.ofSeconds(4), true, 1, 0);
        StandInPlatform platform =
                StandInPlatform.of(
                        loop,
                        1,
                        shape,
                        StandInObserver.NONE,
                        port -> proxies.computeIfAbsent(port, RowProxy::new).port());
        platform.start();
        loop.submit(() -> ReviewConfiguration.write(platform, CONFIGURATION))
                .syncUninterruptibly();
        Path work = Files.createTempDirectory("review2");
        for (int i = 1; i <= 2; i++) {
            Front front =
                    new Front(
                            work,
                            "vm-" + i,
                            "domain-a",
                            platform.storePort(),
                            platform.storePort());
            fronts.add(front);
            front.start();
        }
        for (Front front : fronts) {
            if (!front.awaitReady(20)) {
                report.say(front.name + " did not get ready");
                return 2;
            }
        }
        Thread.sleep(4_500);
        try (Session session = new Session(fronts.get(1).port, "portal", "writer")) {
            String answer = session.query("w1", "WRITE big " + "x".repeat(ROW_BYTES), 3_000);
            report.say("a client writes a row of " + ROW_BYTES + " bytes: " + answer);
            if (!answer.startsWith("COMPLETE")) {
                return 2;
            }
        }
        int broken = 0;
        for (int round = 0; round < ROUNDS; round++) {
            Front front = fronts.get(0);
            SlowLink link = new SlowLink(front.port);
            try (Session session = new Session(link.port(), "portal", "reader")) {
                report.say("answer before the stop: " + read(session, "a" + round));
                double termAt = report.seconds();
                if (trouble) {
                    front.signalTerminate();
                    report.say("SIGTERM to " + front.name);
                }
                // The session is in use until its next request.
                while (report.seconds() < termAt + READ_AFTER_TERM_MILLIS / 1_000.0) {
                    session.query("s" + round, "READ small", 2_000);
                    Thread.sleep(50);
                }
                double sentAt = report.seconds();
                String answer = read(session, "b" + round);
                double endAt = report.seconds();
                report.say(
                        "request sent "
                                + seconds(sentAt - termAt)
                                + " s after SIGTERM, ended "
                                + seconds(endAt - sentAt)
                                + " s later: "
                                + answer);
                boolean excused =
                        endAt - sentAt >= ROUTE_TIMEOUT_S || endAt >= termAt + GRACE_S + 1;
                if (answer.startsWith("cut off") && !excused) {
                    broken++;
                }
            }
            if (trouble) {
                report.say(front.name + " ended=" + front.terminate(8));
                for (String line : front.logLines("\"SHUTDOWN_")) {
                    report.add(front.name + " log: " + line);
                }
                front.start();
                if (!front.awaitReady(20)) {
                    report.say(front.name + " did not get ready");
                    return 2;
                }
                Thread.sleep(4_500);
            }
        }
        report.say("answers cut off by the planned stop: " + broken + " of " + ROUNDS);
        return broken > 0 ? 1 : 0;
    }

    private static String seconds(double time) {
        return String.format(java.util.Locale.ROOT, "%.2f", time);
    }

    private String read(Session session, String id) {
        try {
            String answer = session.query(id, "READ big", CLIENT_DEADLINE_MILLIS);
            return answer + ", rows=" + session.rows() + " bytes=" + session.rowBytes();
        } catch (IOException e) {
            return "cut off after rows="
                    + session.rows()
                    + " bytes="
                    + session.rowBytes()
                    + ": "
                    + e;
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private static void copy(InputStream in, OutputStream out, int bytesPerMilli)
            throws IOException {
        byte[] buffer = new byte[16_384];
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
            out.write(buffer, 0, n);
            out.flush();
            if (bytesPerMilli > 0 && n > 1_000) {
                try {
                    Thread.sleep(0, 0);
                    long until = System.nanoTime() + n * 1_000_000L / bytesPerMilli;
                    while (System.nanoTime() < until) {
                        Thread.sleep(1);
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }
    }

    private static void close(Socket... sockets) {
        for (Socket socket : sockets) {
            try {
                socket.close();
            } catch (IOException e) {
                // The socket is closed either way.
            }
        }
    }

    /** A client's link with a bandwidth and a small window. */
    private static final class SlowLink {
        private final ServerSocket server;

        private SlowLink(int target) throws IOException {
            server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
            daemon(
                    () -> {
                        try {
                            Socket client = server.accept();
                            Socket front = new Socket();
                            front.setReceiveBufferSize(SMALL_WINDOW_BYTES);
                            front.connect(new InetSocketAddress("127.0.0.1", target), 1_000);
                            front.setTcpNoDelay(true);
                            client.setTcpNoDelay(true);
                            daemon(() -> forward(client, front, 0));
                            forward(front, client, LINK_BYTES_PER_MILLI);
                        } catch (IOException e) {
                            // The client sees the end of its connection.
                        }
                    });
        }

        private int port() {
            return server.getLocalPort();
        }

        private static void forward(Socket from, Socket to, int rate) {
            try {
                copy(from.getInputStream(), to.getOutputStream(), rate);
            } catch (IOException e) {
                // Ends below, as at the end of the stream.
            }
            close(from, to);
        }
    }

    /** Stands before an instance, which answers each read of a long row with several rows. */
    private static final class RowProxy {
        private final ServerSocket server;
        private final int target;

        private RowProxy(int target) {
            this.target = target;
            try {
                server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            daemon(this::accept);
        }

        private int port() {
            return server.getLocalPort();
        }

        private void accept() {
            while (true) {
                try {
                    Socket front = server.accept();
                    Socket instance = new Socket();
                    instance.connect(new InetSocketAddress("127.0.0.1", target), 1_000);
                    front.setTcpNoDelay(true);
                    instance.setTcpNoDelay(true);
                    daemon(
                            () -> {
                                try {
                                    copy(front.getInputStream(), instance.getOutputStream(), 0);
                                } catch (IOException e) {
                                    // Ends below.
                                }
                                close(front, instance);
                            });
                    daemon(() -> answer(instance, front));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private static void answer(Socket instance, Socket front) {
            try {
                BufferedInputStream in = new BufferedInputStream(instance.getInputStream(), 65_536);
                OutputStream out = front.getOutputStream();
                ByteArrayOutputStream line = new ByteArrayOutputStream();
                for (int b = in.read(); b >= 0; b = in.read()) {
                    line.write(b);
                    if (b == '\n') {
                        byte[] bytes = line.toByteArray();
                        boolean longRow =
                                bytes.length > ROW_BYTES
                                        && new String(bytes, 0, 8, StandardCharsets.ISO_8859_1)
                                                .equals("DATAROW ");
                        for (int i = 0; i < (longRow ? ROWS : 1); i++) {
                            out.write(bytes);
                        }
                        out.flush();
                        line.reset();
                    }
                }
            } catch (IOException e) {
                // Ends below.
            }
            close(instance, front);
        }
    }
}
