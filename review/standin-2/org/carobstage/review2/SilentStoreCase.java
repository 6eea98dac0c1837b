package org.carobstage.review2;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.carobstage.adapter.standin.ReviewHeartbeats;
import org.carobstage.adapter.standin.StandInObserver;
import org.carobstage.adapter.standin.StandInPlatform;

/**
 * The open connections of two processes to the store go silent for good; new ones work. Then a
 * configuration adds one database and drops another one.
 */
final class SilentStoreCase {
    private static final double CONTACT_S = 4.0;
    private static final double CONFIG_APPLY_S = 3.0;

    /** Allows for the time between a decision of the script and its effect on a socket. */
    private static final double MARGIN_S = 0.1;

    /** The slots of an instance of the shape that is used. */
    private static final int SLOTS = 5;

    private SilentStoreCase() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Report report = new Report(Path.of(args[0]));
        Path work = Files.createTempDirectory("review2");
        List<Front> fronts = new ArrayList<>();
        Front.killAtExit(fronts);
        int status = 2;
        try {
            status = run(trouble, report, work, fronts);
        } catch (Exception e) {
            report.say("could not run: " + e);
        }
        System.exit(status);
    }

    private static int run(boolean trouble, Report report, Path work, List<Front> fronts)
            throws Exception {
        EventLoop loop = new NioEventLoopGroup(1).next();
        StandInPlatform platform =
                StandInPlatform.of(
                        loop,
                        1,
                        StandInPlatform.Shape.THREE_SERVICES,
                        StandInObserver.NONE,
                        port -> port);
        platform.start();
        loop.submit(() -> ReviewHeartbeats.start(platform, SLOTS)).syncUninterruptibly();
        loop.submit(
                        () ->
                                platform.writeConfiguration(
                                        1,
                                        Map.of(
                                                "drafts", "read_your_writes",
                                                "filings", "primary",
                                                "status", "bounded_staleness")))
                .syncUninterruptibly();
        List<SilentProxy> proxies = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            SilentProxy proxy = new SilentProxy(platform.storePort());
            proxies.add(proxy);
            Front front =
                    new Front(work, "vm-" + i, "domain-a", proxy.port(), platform.storePort());
            fronts.add(front);
            front.start();
        }
        for (Front front : fronts) {
            if (!front.awaitReady(20)) {
                report.say(front.name + " did not get ready");
                return 2;
            }
        }
        Thread.sleep(12_000);
        report.say("version 1 is in force: drafts, filings, status");
        double silentAt = report.seconds();
        if (trouble) {
            for (SilentProxy proxy : proxies) {
                report.say("connections to the store that go silent: " + proxy.silence());
            }
        }
        Thread.sleep(300);
        loop.submit(
                        () ->
                                platform.writeConfiguration(
                                        2,
                                        Map.of(
                                                "drafts", "read_your_writes",
                                                "filings", "primary",
                                                "novo", "bounded_staleness")))
                .syncUninterruptibly();
        double acknowledgedAt = report.seconds();
        report.say("the store acknowledged version 2: novo is added, status is dropped");
        double judgedFrom =
                Math.max(silentAt + CONTACT_S, acknowledgedAt + CONFIG_APPLY_S) + MARGIN_S;
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger judged = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (Front front : fronts) {
            Thread client =
                    new Thread(
                            () ->
                                    ask(
                                            front,
                                            report,
                                            silentAt,
                                            judgedFrom,
                                            judged,
                                            broken));
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
        report.say("judged=" + judged + " handled as version 1 allows=" + broken);
        return broken.get() > 0 ? 1 : 0;
    }

    private static void ask(
            Front front,
            Report report,
            double silentAt,
            double judgedFrom,
            AtomicInteger judged,
            AtomicInteger broken) {
        for (int i = 0; report.seconds() < silentAt + 14; i++) {
            for (String database : List.of("novo", "status")) {
                double sentAt = report.seconds();
                String answer = open(front, database, "q" + front.port + "-" + i);
                boolean old =
                        database.equals("novo")
                                ? answer.startsWith("ERROR NODB")
                                : answer.startsWith("COMPLETE");
                boolean counts = sentAt >= judgedFrom;
                report.add(
                        front.name
                                + " "
                                + database
                                + " sent="
                                + String.format("%.3f", sentAt)
                                + " answer="
                                + answer
                                + (counts ? old ? " BROKEN" : " kept" : " not judged"));
                if (counts) {
                    judged.incrementAndGet();
                    if (old) {
                        broken.incrementAndGet();
                    }
                }
            }
            try {
                Thread.sleep(60);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static String open(Front front, String database, String id) {
        try (Session session = new Session(front.port, database, "review")) {
            return session.query(id, "READ k", 2_000);
        } catch (IOException e) {
            return e.getMessage() == null ? e.toString() : e.getMessage();
        }
    }
}
