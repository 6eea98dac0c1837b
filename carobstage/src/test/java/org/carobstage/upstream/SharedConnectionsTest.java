package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.carobstage.event.EventLog;
import org.carobstage.fake.FakeInstance;
import org.carobstage.fake.FakeService;
import org.carobstage.model.AccountName;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.carobstage.sql.Statement;
import org.carobstage.upstream.ConnectionRequest.Purpose;
import org.junit.jupiter.api.Test;

/** Shared connections under the loads that they have to serve, each named by its test. */
class SharedConnectionsTest {
    private static final ConnectionQuota TWO_FOR_ACCOUNTS =
            new ConnectionQuota(2, 31, 2, false, true);

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final FakeService service = FakeService.of(clock);
    private final Random random = new Random(7);
    private final List<String> finished = new ArrayList<>();
    private final List<String> rejected = new ArrayList<>();
    private int operationCount;

    // Guards against a statement that runs under another account, an opening for each dispatch of a
    // waiting request, and an account that waits for ever behind idle connections of others.
    @Test
    void shouldServeManyAccountsOverTwoConnections() {
        ServiceGroup group = startGroup(TWO_FOR_ACCOUNTS);
        long openingsBefore = openings();
        for (int i = 0; i < 400; i++) {
            read(group, "account-" + random.nextInt(82), Duration.ofMillis(800));
            clock.advance(Duration.ofMillis(10));
        }
        clock.advance(Duration.ofSeconds(1));

        assertThat(finished).hasSize(400);
        assertThat(rejected).isEmpty();
        service.instances().stream()
                .flatMap(i -> i.executingAccounts().entrySet().stream())
                .forEach(
                        e ->
                                assertThat(e.getKey())
                                        .startsWith(e.getValue().orElseThrow().value() + "/"));
        assertThat(openings() - openingsBefore).isLessThanOrEqualTo(400);
    }

    private long openings() {
        return service.instances().stream().mapToLong(FakeInstance::openingCount).sum();
    }

    private ServiceGroup startGroup(ConnectionQuota quota) {
        ServiceGroup group =
                ServiceGroup.of(
                        FakeService.NAME,
                        new UpstreamContext(
                                clock,
                                service.connector(),
                                FailureDomain.of("domain-b"),
                                EventLog.of(VmId.of("vm"), clock, 100),
                                false,
                                random::nextDouble));
        group.setConnectionQuota(quota);
        service.instances().forEach(i -> group.put(i.instanceEntry()));
        tick(group);
        clock.advance(Duration.ofSeconds(1));
        return group;
    }

    private void read(ServiceGroup group, String account, Duration timeout) {
        String id = account + "/" + operationCount++;
        request(
                group,
                account,
                Purpose.ANY_INSTANCE,
                timeout,
                c ->
                        c.send(
                                id,
                                Optional.empty(),
                                new Statement.Read("k"),
                                result -> {
                                    finished.add(id);
                                    c.release();
                                }));
    }

    private void request(
            ServiceGroup group,
            String account,
            Purpose purpose,
            Duration timeout,
            Consumer<PooledConnection> onGranted) {
        long deadlineNanos = clock.nanoTime() + timeout.toNanos();
        group.acquire(
                new ConnectionRequest(
                        new RequestOrigin(
                                Optional.of(account).filter(a -> !a.isEmpty()).map(AccountName::of),
                                0,
                                deadlineNanos),
                        purpose,
                        new HashSet<>(),
                        Map.of(),
                        deadlineNanos,
                        onGranted,
                        rejected::add));
    }

    private void tick(ServiceGroup group) {
        group.tick();
        clock.schedule(() -> tick(group), Duration.ofMillis(50));
    }
}
