package org.carobstage.review2;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.carobstage.adapter.standin.StandInInstance;
import org.carobstage.adapter.standin.StandInObserver;
import org.carobstage.adapter.standin.StandInPlatform;
import org.carobstage.adapter.standin.StandInService;

/**
 * A replica receives nothing for 6.5 s. Meanwhile the primary crashes, to return with its log after
 * 7 s, and the other replica restarts under its id, without its log. Two processes serve clients
 * that write.
 */
final class LostCase {
    private static final int WRITERS = 8;
    private static final int DEAF_MILLIS = 6_500;
    private static final int DOWN_MILLIS = 7_000;
    private static final int RESTART_MILLIS = 300;

    private final Report report;
    private final List<Front> fronts;
    private final Set<String> acknowledged = ConcurrentHashMap.newKeySet();
    private final AtomicInteger promotions = new AtomicInteger();
    private final AtomicInteger missing = new AtomicInteger();
    private volatile boolean ended;

    private LostCase(Report report, List<Front> fronts) {
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
            status = new LostCase(report, fronts).run(trouble);
        } catch (Exception e) {
            report.say("could not run: " + e);
        }
        System.exit(status);
    }

    private int run(boolean trouble) throws Exception {
        EventLoop loop = new NioEventLoopGroup(1).next();
        StandInPlatform.Shape shape =
                new StandInPlatform.Shape(
                        1, 5, 60, Duration.ofMillis(12), Duration.ofSeconds(4), true, 1, 0);
        StandInPlatform platform =
                StandInPlatform.of(loop, 1, shape, new Judge(), port -> port);
        platform.start();
        loop.submit(() -> platform.writeConfiguration(1, Map.of("filings", "primary")))
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
        for (int i = 0; i < WRITERS; i++) {
            int number = i;
            Thread writer = new Thread(() -> write(number));
            writer.setDaemon(true);
            writer.start();
        }
        Thread.sleep(5_000);
        StandInService service = platform.service();
        StandInInstance primary = service.primary();
        List<StandInInstance> replicas =
                service.instances().stream().filter(i -> i != primary).toList();
        report.say(
                "primary="
                        + primary.id()
                        + " replicas="
                        + replicas.stream().map(StandInInstance::id).toList()
                        + " acknowledged="
                        + acknowledged.size());
        if (trouble) {
            disrupt(loop, platform, primary, replicas);
        } else {
            Thread.sleep(1_000 + DOWN_MILLIS);
        }
        Thread.sleep(8_000);
        ended = true;
        report.say(
                "acknowledged="
                        + acknowledged.size()
                        + " promotions="
                        + promotions
                        + " acknowledged commits missing in the promoted instance="
                        + missing);
        for (Front front : fronts) {
            for (String line : front.logLines("FAILOVER_CHOICE")) {
                if (!line.contains("target=none")) {
                    report.add(front.name + " log: " + line);
                }
            }
        }
        return missing.get() > 0 ? 1 : 0;
    }

    private void disrupt(
            EventLoop loop,
            StandInPlatform platform,
            StandInInstance primary,
            List<StandInInstance> replicas)
            throws InterruptedException {
        loop.submit(() -> replicas.get(1).setDeaf(true)).syncUninterruptibly();
        report.say(replicas.get(1).id() + " receives nothing");
        Thread.sleep(1_000);
        loop.submit(
                        () -> {
                            platform.crash(primary);
                            platform.crash(replicas.get(0));
                        })
                .syncUninterruptibly();
        report.say("crashed " + primary.id() + " and " + replicas.get(0).id());
        Thread.sleep(RESTART_MILLIS);
        platform.restartEmpty(replicas.get(0));
        report.say("restarted " + replicas.get(0).id() + " under its id, without its log");
        Thread.sleep(DEAF_MILLIS - 1_000 - RESTART_MILLIS);
        loop.submit(() -> replicas.get(1).setDeaf(false)).syncUninterruptibly();
        report.say(replicas.get(1).id() + " receives again");
        Thread.sleep(DOWN_MILLIS - (DEAF_MILLIS - 1_000));
        platform.restart(primary);
        report.say("restarted " + primary.id() + " with its log");
    }

    private void write(int number) {
        Front front = fronts.get(number % fronts.size());
        for (int k = 0; !ended; k++) {
            try (Session session = new Session(front.port, "filings", "w" + number)) {
                while (!ended) {
                    k++;
                    String id = "w" + number + "-" + k;
                    String answer = session.query(id, "WRITE k" + number + " v" + k, 3_000);
                    if (answer.startsWith("COMPLETE")) {
                        acknowledged.add(id);
                    }
                    report.add(id + " at " + front.name + ": " + answer);
                    Thread.sleep(answer.startsWith("COMPLETE") ? 40 : 1_000);
                }
            } catch (IOException e) {
                report.add("w" + number + "-" + k + ": " + e);
                pause();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(500);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Compares the log of each promoted instance with what clients were told. */
    private final class Judge implements StandInObserver {
        @Override
        public void beforePromotion(StandInInstance target) {
            promotions.incrementAndGet();
            List<String> lost =
                    acknowledged.stream().filter(id -> !target.log().contains(id)).sorted().toList();
            missing.addAndGet(lost.size());
            report.say(
                    "promoted "
                            + target.id()
                            + ", acknowledged commits that it lacks: "
                            + lost.size()
                            + " "
                            + lost.stream().limit(10).toList());
        }
    }
}
