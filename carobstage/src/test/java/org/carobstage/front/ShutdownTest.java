package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.FakeService;
import org.carobstage.route.Consistency;
import org.carobstage.route.Route;
import org.carobstage.route.RouteTable;
import org.carobstage.sql.Failure;
import org.carobstage.sql.FailureCode;
import org.carobstage.sql.Statement;
import org.carobstage.sql.StatementResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against statements that a graceful shutdown cuts off, at each moment of it. */
class ShutdownTest {
    private static final int LIMIT_MILLIS = 6_000;

    /** Until then the users' rules excuse an instance that is still at work near the end. */
    private static final int EXCUSED_MILLIS = 3_000;

    private static final int STEP_MILLIS = 100;
    private static final int ENDLESS_MILLIS = 10_000;
    private static final Map<Integer, List<Play>> PLAYS = new HashMap<>();
    private static final Statement READ = new Statement.Read("k");
    private static final Statement WRITE = new Statement.Write("k", "data");
    private static final Statement BEGIN = new Statement.Begin(false);
    private static final Statement COMMIT = new Statement.Commit();

    // A read that started late was cut off by the exit, and its client got no answer.
    @ParameterizedTest
    @ValueSource(ints = {200, 800, 1_000, 1_500, 2_000, 3_000, 4_500, 6_000})
    void shouldAnswerEveryStatementBeforeExit(int timeoutMillis) {
        assertThat(violations(timeoutMillis, ShutdownTest::isUnanswered)).isEmpty();
    }

    // An instance's silence is no reason to end an answer before the route's timeout.
    @ParameterizedTest
    @ValueSource(ints = {200, 800, 1_000, 1_500, 2_000, 3_000, 4_500, 6_000})
    void shouldLeaveItsTimeoutToEachStatementThatStartsInSecondHalf(int timeoutMillis) {
        assertThat(violations(timeoutMillis, ShutdownTest::isCutShort)).isEmpty();
    }

    // A client that is told that its statement has not run sends it again elsewhere.
    @ParameterizedTest
    @ValueSource(ints = {800, 2_000, 6_000})
    void shouldNotRunStatementThatIsRefused(int timeoutMillis) {
        assertThat(violations(timeoutMillis, ShutdownTest::hasRunAlthoughRefused)).isEmpty();
    }

    // A second signal must not start the schedule anew, nor a reload end what is in progress.
    @Test
    void shouldAnswerEveryStatementWhenSignalsAreRepeated() {
        List<String> violations =
                IntStream.iterate(0, t -> t < LIMIT_MILLIS, t -> t + 500)
                        .boxed()
                        .flatMap(t -> violationsWithSignalsAt(t).stream())
                        .toList();

        assertThat(violations).isEmpty();
    }

    private static List<String> violationsWithSignalsAt(int signalMillis) {
        return IntStream.iterate(0, t -> t < LIMIT_MILLIS, t -> t + 200)
                .mapToObj(
                        sentMillis -> {
                            Play play = new Play(2_000, 1_950, Kind.READ);
                            play.at(signalMillis, play.server::stop);
                            play.at(signalMillis, play.server::recordSettingsReload);
                            return play.run(sentMillis);
                        })
                .filter(p -> isUnanswered(p) || isCutShort(p) || p.stoppedMillis > LIMIT_MILLIS)
                .map(Play::toString)
                .toList();
    }

    private static List<String> violations(int timeoutMillis, Predicate<Play> violation) {
        return PLAYS.computeIfAbsent(timeoutMillis, ShutdownTest::plays).stream()
                .filter(violation)
                .map(Play::toString)
                .toList();
    }

    /** Plays a statement that ends just in time, and one that does not, at each moment. */
    private static List<Play> plays(int timeoutMillis) {
        return Stream.of(Kind.values())
                .flatMap(
                        kind ->
                                Stream.of(timeoutMillis - 20, ENDLESS_MILLIS)
                                        .flatMap(d -> plays(timeoutMillis, d, kind)))
                .toList();
    }

    private static Stream<Play> plays(int timeoutMillis, int durationMillis, Kind kind) {
        return IntStream.iterate(0, t -> t < LIMIT_MILLIS, t -> t + STEP_MILLIS)
                .mapToObj(t -> new Play(timeoutMillis, durationMillis, kind).run(t));
    }

    private static boolean isUnanswered(Play play) {
        return play.isAccepted() && play.answeredMillis == 0;
    }

    /**
     * Returns whether a statement that was not refused at once failed before its timeout. The
     * commit of a pipelined transaction starts, or is refused, when the statement before it has
     * ended.
     */
    private static boolean isCutShort(Play play) {
        boolean mayWait = play.kind == Kind.COMMIT_OF_PIPELINED_TRANSACTION;
        boolean waited = !mayWait && play.answeredMillis > play.sentMillis + STEP_MILLIS;
        return play.isAccepted()
                && play.sentMillis > EXCUSED_MILLIS
                && play.code.isPresent()
                && (waited || !play.isRefused())
                && play.answeredMillis < play.sentMillis + play.timeoutMillis;
    }

    private static boolean hasRunAlthoughRefused(Play play) {
        return play.isRefused() && play.hasRun;
    }

    /** What the client sends; the last statement is sent at the moment under test. */
    private enum Kind {
        READ((p, millis) -> p.send(millis, ShutdownTest.READ)),
        WRITE((p, millis) -> p.send(millis, ShutdownTest.WRITE)),
        /** A transaction that begins at the moment under test. */
        FIRST_IN_TRANSACTION(
                (p, millis) -> {
                    p.send(millis, BEGIN);
                    p.send(millis, ShutdownTest.WRITE);
                }),
        COMMIT_OF_PIPELINED_TRANSACTION(
                (p, millis) -> {
                    p.send(millis, BEGIN);
                    p.send(millis, ShutdownTest.WRITE);
                    p.send(millis, COMMIT);
                });

        private final BiConsumer<Play, Integer> sending;

        Kind(BiConsumer<Play, Integer> sending) {
            this.sending = sending;
        }
    }

    /** A shutdown with one client that sends at one moment. */
    private static final class Play {
        private final FakePlatformAdapter adapter = new FakePlatformAdapter();
        private final RecordingChannel channel = new RecordingChannel();
        private final int timeoutMillis;
        private final int durationMillis;
        private final Kind kind;
        private final ProxyServer server;
        private final ClientSession transaction;
        private Optional<ClientSession> session = Optional.empty();
        private Optional<FailureCode> code = Optional.empty();
        private boolean hasRun;
        private int sentCount;
        private int sentMillis;
        private int answeredMillis;
        private int stoppedMillis = Integer.MAX_VALUE;

        private Play(int timeoutMillis, int durationMillis, Kind kind) {
            this.timeoutMillis = timeoutMillis;
            this.durationMillis = durationMillis;
            this.kind = kind;
            adapter.routeTable = routes(timeoutMillis);
            adapter.store.put("routes", "1");
            adapter.service.instances().forEach(i -> adapter.store.put("instances/" + i.id(), "1"));
            server = ProxyServer.launch(ProxyServerTest.SETTINGS, adapter);
            adapter.clock.advance(Duration.ofSeconds(1));
            // An open transaction keeps the process from ending early.
            transaction = adapter.connect("drafts", new RecordingChannel()).orElseThrow();
            transaction.receive("t", BEGIN);
            server.stop();
        }

        private void at(int millis, Runnable task) {
            adapter.clock.schedule(task, Duration.ofMillis(millis));
        }

        private Play run(int millis) {
            sentMillis = millis;
            at(millis, () -> kind.sending.accept(this, millis));
            for (int now = 0; now < LIMIT_MILLIS && stoppedMillis > now; now += 5) {
                adapter.clock.advance(Duration.ofMillis(5));
                if (server.isStopped()) {
                    stoppedMillis = now + 5;
                }
                if (answeredMillis == 0 && sentCount > 0 && answers() >= sentCount) {
                    answeredMillis = now + 5;
                }
            }
            code =
                    channel.results.isEmpty()
                            ? Optional.empty()
                            : channel.lastResult().failure().map(Failure::code);
            if (isRefused()) {
                adapter.clock.advance(Duration.ofMillis(ENDLESS_MILLIS));
                hasRun =
                        adapter.service.instances().stream()
                                .map(FakeInstance::executedStatements)
                                .flatMap(List::stream)
                                .anyMatch(line -> line.startsWith("r" + sentCount + " "));
            }
            return this;
        }

        private void send(int millis, Statement statement) {
            if (sentCount == 0) {
                adapter.service
                        .instances()
                        .forEach(i -> i.setStatementDuration(Duration.ofMillis(durationMillis)));
                session = adapter.connect("drafts", channel);
            }
            sentCount++;
            session.ifPresent(s -> s.receive("r" + sentCount, statement));
        }

        private boolean isAccepted() {
            return session.isPresent() && channel.rejections.isEmpty();
        }

        private int answers() {
            return channel.results.size();
        }

        /** Returns whether the client was told that its last statement has not run. */
        private boolean isRefused() {
            return code.filter(c -> c != FailureCode.TIMED_OUT)
                    .filter(c -> c != FailureCode.OUTCOME_UNKNOWN)
                    .isPresent();
        }

        @Override
        public String toString() {
            return kind
                    + " sent at "
                    + sentMillis
                    + " ms, takes "
                    + durationMillis
                    + " of "
                    + timeoutMillis
                    + " ms, answers "
                    + channel.results.stream().map(StatementResult::failure).toList()
                    + " of "
                    + sentCount
                    + " at "
                    + answeredMillis
                    + " ms, stopped at "
                    + stoppedMillis
                    + " ms";
        }

        private static RouteTable routes(int timeoutMillis) {
            Route route =
                    new Route(
                            "drafts",
                            FakeService.NAME,
                            Consistency.BOUNDED_STALENESS,
                            Duration.ofMillis(1_500),
                            Duration.ofMillis(timeoutMillis),
                            Duration.ofMillis(250),
                            1);
            return new RouteTable(
                    1,
                    Map.of("drafts", route),
                    Map.of(FakeService.NAME, 22),
                    Duration.ofSeconds(3));
        }
    }
}
