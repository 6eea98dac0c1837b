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
import java.util.concurrent.atomic.AtomicInteger;
import org.carobstage.adapter.standin.StandInInstance;
import org.carobstage.adapter.standin.StandInObserver;
import org.carobstage.adapter.standin.StandInPlatform;
import org.carobstage.adapter.standin.StandInService;

/**
 * The primary is lost for good 0.6 s before all processes lose power. Its entry has gone
 * when they start again. Clients send single writes.
 */
final class LeaderlessCase {
    private static final int WRITERS = 8;
    private static final int DOWN_MILLIS = 2_000;
    private static final int LOST_BEFORE_MILLIS = 600;

    /** The primary wrote its entry 1.1 s before; three intervals of 1.2 s have passed after this. */
    private static final int ENTRY_LEFT_MILLIS = 2_500;

    private static final double RECOVERY_S = 12;
    private static final double MEASURED_S = 45;

    private final Report report;
    private final List<Front> fronts;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger promotions = new AtomicInteger();
    private volatile boolean ended;

    private LeaderlessCase(Report report, List<Front> fronts) {
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
            status = new LeaderlessCase(report, fronts).run(trouble);
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
        StandInObserver observer =
                new StandInObserver() {
                    @Override
                    public void promotionAccepted(
                            StandInInstance target, String holder, long fencingToken) {
                        promotions.incrementAndGet();
                        report.say("promotion of " + target.id() + " requested by " + holder);
                    }
                };
        StandInPlatform platform = StandInPlatform.of(loop, 1, shape, observer, port -> port);
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
        Thread.sleep(2_000);
        double before = measure(4);
        report.say("served before the final fault: " + percent(before));
        StandInService service = platform.service();
        StandInInstance primary = service.primary();
        if (trouble) {
            loop.submit(primary::freeze).syncUninterruptibly();
            double lostAt = report.seconds();
            report.say("lost " + primary.id() + " for good");
            Thread.sleep(LOST_BEFORE_MILLIS);
            for (Front front : fronts) {
                front.kill();
            }
            double killedAt = report.seconds();
            report.say("killed all processes");
            sleepUntil(lostAt + ENTRY_LEFT_MILLIS / 1_000.0);
            loop.submit(() -> platform.setEntryMissing(primary, true)).syncUninterruptibly();
            report.say("the entry of " + primary.id() + " is removed");
            sleepUntil(killedAt + DOWN_MILLIS / 1_000.0);
            for (Front front : fronts) {
                front.start();
            }
            report.say("started all processes");
        }
        Thread.sleep((long) (RECOVERY_S * 1_000));
        double after = measure(MEASURED_S);
        ended = true;
        report.say("served later than recovery_s after it: " + percent(after));
        report.say("promotions requested: " + promotions);
        for (Front front : fronts) {
            report.say(
                    front.name
                            + " ready="
                            + front.isReady()
                            + " failovers recorded="
                            + front.logLines("PROMOTION_STARTED").size()
                            + " primaries known="
                            + front.logLines("PRIMARY_KNOWN").size());
        }
        return before < 0.25 ? 2 : after < 0.25 ? 1 : 0;
    }

    private void sleepUntil(double time) throws InterruptedException {
        Thread.sleep((long) Math.max(0, (time - report.seconds()) * 1_000));
    }

    private double measure(double seconds) throws InterruptedException {
        int sentBefore = sent.get();
        int servedBefore = served.get();
        Thread.sleep((long) (seconds * 1_000));
        int asked = sent.get() - sentBefore;
        int done = served.get() - servedBefore;
        report.say("sent=" + asked + " served=" + done);
        return asked == 0 ? 0 : (double) done / asked;
    }

    private static String percent(double share) {
        return Math.round(share * 1_000) / 10.0 + " %";
    }

    private void write(int number) {
        for (int k = 0; !ended; k++) {
            Front front = fronts.get((number + k) % fronts.size());
            try (Session session = new Session(front.port, "filings", "w" + number)) {
                for (int j = 0; !ended; j++) {
                    String id = "w" + number + "-" + k + "-" + j;
                    sent.incrementAndGet();
                    String answer = session.query(id, "WRITE k" + number + " v" + j, 3_000);
                    if (answer.startsWith("COMPLETE")) {
                        served.incrementAndGet();
                    }
                    if (j % 10 == 0) {
                        report.add(id + " at " + front.name + ": " + answer);
                    }
                    Thread.sleep(100);
                }
            } catch (IOException e) {
                report.add("w" + number + "-" + k + ": " + e);
            } catch (InterruptedException e) {
                return;
            }
            try {
                Thread.sleep(300);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
