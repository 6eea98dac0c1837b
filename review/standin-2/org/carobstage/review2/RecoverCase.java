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
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.carobstage.adapter.standin.StandInObserver;
import org.carobstage.adapter.standin.StandInPlatform;

/**
 * Two processes, one in each zone, and 208 sessions. Each session prepares the same 400 statements
 * of 2.4 KB and then executes one a second. At the end all processes are killed and start again.
 */
final class RecoverCase {
    private static final int SESSIONS = 208;
    private static final int STATEMENTS = 400;
    private static final int SHAPE_BYTES = 2_400;
    private static final int DEADLINE_MILLIS = 3_000;
    private static final int SETUP_TIMEOUT_MILLIS = 5_000;
    private static final int RETRIES = 2;
    private static final double RECOVERY_S = 12;
    private static final double[] DOWN_S = {0.6, 1.4};
    private static final double MEASURED_S = 40;
    private static final int MAX_SECONDS = 120;

    private final Report report;
    private final List<Front> fronts;
    private final List<String> shapes = new ArrayList<>();
    private final AtomicIntegerArray sent = new AtomicIntegerArray(MAX_SECONDS);
    private final AtomicIntegerArray served = new AtomicIntegerArray(MAX_SECONDS);
    private final AtomicIntegerArray openAt = new AtomicIntegerArray(2);
    private final AtomicInteger prepared = new AtomicInteger();
    private volatile boolean ended;

    private RecoverCase(Report report, List<Front> fronts) {
        this.report = report;
        this.fronts = fronts;
        Random random = new Random(7);
        for (int i = 0; i < STATEMENTS; i++) {
            StringBuilder shape = new StringBuilder("q" + i + ".");
            while (shape.length() < SHAPE_BYTES) {
                shape.append((char) ('a' + random.nextInt(26)));
            }
            shapes.add(shape.toString());
        }
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Report report = new Report(Path.of(args[0]));
        List<Front> fronts = new ArrayList<>();
        Front.killAtExit(fronts);
        int status = 2;
        try {
            status = new RecoverCase(report, fronts).run(trouble);
        } catch (Exception e) {
            report.say("could not run: " + e);
        }
        System.exit(status);
    }

    private int run(boolean trouble) throws Exception {
        EventLoop loop = new NioEventLoopGroup(1).next();
        StandInPlatform.Shape shape =
                new StandInPlatform.Shape(
                        1, 5, 60, Duration.ofMillis(12), Duration.ofSeconds(4), true, 2, 0);
        StandInPlatform platform =
                StandInPlatform.of(loop, 1, shape, StandInObserver.NONE, port -> port);
        platform.start();
        loop.submit(
                        () ->
                                platform.writeConfiguration(
                                        1, Map.of("drafts", "read_your_writes")))
                .syncUninterruptibly();
        Path work = Files.createTempDirectory("review2");
        for (int i = 0; i < 2; i++) {
            String domain = "domain-" + (char) ('a' + i);
            Front front =
                    new Front(
                            work,
                            "vm-" + (i + 1),
                            domain,
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
        Balancer balancer = new Balancer(fronts);
        Thread.sleep(1_500);
        for (int i = 0; i < SESSIONS; i++) {
            int number = i;
            Thread client = new Thread(() -> client(number, balancer));
            client.setDaemon(true);
            client.start();
        }
        while (prepared.get() < SESSIONS) {
            if (report.seconds() > 45) {
                report.say("only " + prepared + " sessions have prepared their statements");
                return 2;
            }
            Thread.sleep(100);
        }
        double calmFrom = report.seconds() + 1;
        Thread.sleep(7_000);
        double faultAt = report.seconds();
        describe("before the final fault");
        if (trouble) {
            for (Front front : fronts) {
                front.kill();
            }
            report.say("killed all processes");
            double killedAt = report.seconds();
            for (int i = 0; i < fronts.size(); i++) {
                Thread.sleep((long) ((killedAt + DOWN_S[i] - report.seconds()) * 1_000));
                fronts.get(i).start();
                report.say("started " + fronts.get(i).name);
            }
        }
        double backAt = report.seconds();
        double judgedFrom = backAt + RECOVERY_S;
        while (report.seconds() < judgedFrom + MEASURED_S) {
            Thread.sleep(3_000);
            describe("");
        }
        Thread.sleep(DEADLINE_MILLIS);
        ended = true;
        double before = share((int) Math.ceil(calmFrom), (int) faultAt);
        double after =
                share((int) Math.ceil(judgedFrom), (int) (judgedFrom + MEASURED_S));
        report.say("served before the final fault: " + percent(before));
        report.say("served later than recovery_s after it: " + percent(after));
        for (Front front : fronts) {
            for (String line : front.logLines("OutOfMemoryError")) {
                report.say(front.name + " log: " + line);
            }
            report.say(
                    front.name
                            + " runs="
                            + front.isAlive()
                            + " ready="
                            + front.isReady());
        }
        if (before < 0.25) {
            return 2;
        }
        return after < 0.25 ? 1 : 0;
    }

    private void describe(String when) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < fronts.size(); i++) {
            text.append(fronts.get(i).name).append(" sessions=").append(openAt.get(i)).append(' ');
        }
        int second = Math.max(0, (int) report.seconds() - 4);
        text.append("sent and served in second ")
                .append(second)
                .append(": ")
                .append(sent.get(second))
                .append(' ')
                .append(served.get(second));
        report.say(text + " " + when);
    }

    /** Returns the share of the requests that were served; one falls due a second and session. */
    private double share(int fromSecond, int toSecond) {
        int asked = (toSecond - fromSecond) * SESSIONS;
        int done = 0;
        for (int i = fromSecond; i < toSecond; i++) {
            done += served.get(i);
        }
        report.say(
                "seconds " + fromSecond + " to " + toSecond + ": due=" + asked + " served=" + done);
        return (double) done / asked;
    }

    private static String percent(double share) {
        return Math.round(share * 1_000) / 10.0 + " %";
    }

    /**
     * Keeps a session open and runs one operation a second. Setting up a session has no deadline of
     * its own but that of each statement; the operations that fall due meanwhile are not served.
     */
    private void client(int number, Balancer balancer) {
        Connection connection = new Connection(number, balancer);
        boolean counted = false;
        long due = System.nanoTime();
        for (int k = 0; !ended; k++) {
            boolean measured = counted;
            int second = Math.min(MAX_SECONDS - 1, (int) report.seconds());
            if (measured) {
                sent.incrementAndGet(second);
            }
            boolean done = operate(connection, number, k, due + DEADLINE_MILLIS * 1_000_000L);
            if (measured && done) {
                served.incrementAndGet(second);
            }
            if (!counted && connection.isPrepared()) {
                counted = true;
                prepared.incrementAndGet();
            }
            due += 1_000_000_000L;
            long left = (due - System.nanoTime()) / 1_000_000;
            if (left > 0) {
                sleep(left);
            } else {
                due = System.nanoTime();
            }
        }
    }

    private boolean operate(Connection connection, int number, int k, long deadline) {
        int statement = (number * 31 + k) % STATEMENTS;
        for (int attempt = 0; attempt <= RETRIES && !ended; attempt++) {
            String id = "r" + number + "-" + k + "-" + attempt;
            try {
                connection.open(attempt);
                int left = (int) ((deadline - System.nanoTime()) / 1_000_000);
                if (left <= 0) {
                    return false;
                }
                String answer =
                        connection.session.query(id, "EXECUTE s" + statement + " k", left);
                if (k % 5 == 0) {
                    report.add(id + " at " + connection.front.name + ": " + answer);
                }
                if (answer.startsWith("COMPLETE") && !answer.equals("COMPLETE -")) {
                    return true;
                }
            } catch (IOException e) {
                connection.close();
                if (k % 5 == 0) {
                    report.add(id + ": " + e);
                }
            }
            sleep(100);
        }
        return false;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A client's connection, on which the statements are prepared anew after each opening. */
    private final class Connection {
        private final int number;
        private final Balancer balancer;
        private Session session;
        private Front front;
        private int preparedCount;

        private Connection(int number, Balancer balancer) {
            this.number = number;
            this.balancer = balancer;
        }

        private boolean isPrepared() {
            return session != null && preparedCount == STATEMENTS;
        }

        /** Opens the session unless it is open, and prepares all statements. */
        private void open(int attempt) throws IOException {
            if (session == null) {
                front = balancer.choose(number, attempt);
                session = new Session(front.port, "drafts", "u" + number);
                preparedCount = 0;
                openAt.incrementAndGet(fronts.indexOf(front));
            }
            while (preparedCount < STATEMENTS) {
                String answer =
                        session.query(
                                "p" + number + "-" + preparedCount,
                                "PREPARE s" + preparedCount + " READ " + shapes.get(preparedCount),
                                SETUP_TIMEOUT_MILLIS);
                if (!answer.startsWith("COMPLETE")) {
                    throw new IOException("not prepared: " + answer);
                }
                preparedCount++;
            }
        }

        private void close() {
            if (session != null) {
                openAt.decrementAndGet(fronts.indexOf(front));
                session.close();
                session = null;
            }
        }
    }
}
