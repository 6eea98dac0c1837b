package org.carobstage.testbed.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.carobstage.document.RequestPolicy;
import org.carobstage.document.RequestPolicy.Access;
import org.carobstage.model.GroupId;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.ownership.Forwarder;
import org.carobstage.runtime.PausedClock;
import org.carobstage.session.SessionPositions;
import org.carobstage.statement.Outcome;
import org.carobstage.statement.StatementRequest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ForwarderTest {
    private static final GroupId GROUP = GroupId.of("varas-1");
    private static final Outcome DONE =
            new Outcome.Done(
                    List.of("id"),
                    List.of(List.of(7)),
                    1,
                    false,
                    LogPosition.of(2, 9),
                    InstanceId.of("a"),
                    false);

    private final PausedClock clock = PausedClock.of(Instant.parse("2026-01-01T00:00:00Z"));
    private final LocalFleet fleet = LocalFleet.of(clock, 2);
    private final List<StatementRequest> ran = new ArrayList<>();

    @Nested
    class Run {
        @Test
        void shouldRunAtTheOwnerWithAllPartsIntactWhenThisOneHasNoShare() {
            Forwarder one = forwarder(0, false);
            forwarder(1, true);
            StatementRequest request = request();

            Outcome outcome = run(one, request);

            assertThat(outcome).isEqualTo(DONE);
            assertThat(ran).hasSize(1);
            assertThat(ran.get(0))
                    .usingRecursiveComparison()
                    .ignoringFields("deadlineNanos")
                    .isEqualTo(request);
        }

        @Test
        void shouldNotRunAndNotBeForwardedAgainWhenTheOtherHasNoShareEither() {
            Forwarder one = forwarder(0, false);
            forwarder(1, false);

            assertThat(run(one, request())).isInstanceOf(Outcome.NotRun.class);
            assertThat(ran).isEmpty();
        }

        @Test
        void shouldBeUnknownAtTheDeadlineWhenTheAnswerIsLost() {
            Forwarder one = forwarder(0, false);
            forwarder(1, true);
            fleet.network().cut((from, to) -> from.port() == 1_001);

            assertThat(run(one, request())).isInstanceOf(Outcome.Unknown.class);
            assertThat(ran).hasSize(1);
        }
    }

    private Forwarder forwarder(int place, boolean serves) {
        LocalFleet.Process process = fleet.processes().get(place);
        Forwarder forwarder =
                Forwarder.of(
                        process.fleet(),
                        clock,
                        group -> serves,
                        group -> Optional.of(fleet.processes().get(1 - place).fleet().self()),
                        request -> {
                            ran.add(request);
                            return CompletableFuture.completedFuture(DONE);
                        });
        process.fleet().onMessage(forwarder::received);
        return forwarder;
    }

    private Outcome run(Forwarder forwarder, StatementRequest request) {
        CompletableFuture<Outcome> outcome = forwarder.run(request).toCompletableFuture();
        clock.advance(Duration.ofSeconds(2));
        return outcome.join();
    }

    private StatementRequest request() {
        return new StatementRequest(
                ServiceName.of("familia-forms"),
                GROUP,
                "INSERT INTO t VALUES (?, ?)",
                List.of(7, "custody"),
                new RequestPolicy(Access.WRITE, Duration.ZERO, false, Duration.ofSeconds(1)),
                Optional.of(new SessionPositions(Map.of(GROUP, LogPosition.of(2, 8)))),
                Optional.of(IdempotencyKey.of("filing-1")),
                clock.nanoTime() + Duration.ofSeconds(1).toNanos());
    }
}
