package org.carobstage.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;
import org.carobstage.model.ServiceName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
    private static final ServiceName FORMS = ServiceName.of("forms");
    private static final ServiceName DRAFTS = ServiceName.of("drafts");
    private static final long MILLI = 1_000_000;
    private static final long SERVICE = 10 * MILLI;
    private static final InstanceLoad ONE_SLOT = new InstanceLoad(1, 1, SERVICE, SERVICE);

    private final AdmissionQueue<String> queue = AdmissionQueue.of(100);

    @Nested
    class Offer {
        @Test
        void shouldRejectAtOnceWhenWaitExceedsPatience() {
            IntStream.range(0, 4).forEach(i -> offer(FORMS, 1_000, "w" + i));

            List<Rejection<String>> rejected = offer(FORMS, 1_001, "fits");
            assertThat(rejected).isEmpty();
            rejected = queue.offer(new SlotRequest<>(FORMS, 5 * MILLI, "short"), ONE_SLOT, 0);
            assertThat(rejected)
                    .extracting(r -> r.slotRequest().payload())
                    .containsExactly("short");
        }

        @Test
        void shouldKeepAdmittedRequestWhenLaterOneWouldMakeItLate() {
            offer(FORMS, 20, "older");

            List<Rejection<String>> rejected = offer(FORMS, 19, "newer");

            assertThat(rejected)
                    .extracting(r -> r.slotRequest().payload())
                    .containsExactly("newer");
            assertThat(queue.poll()).map(SlotRequest::payload).contains("older");
        }

        @Test
        void shouldRejectOlderAtOnceWhenTurnOfAnotherServiceMakesItLate() {
            IntStream.range(0, 4).forEach(i -> offer(FORMS, 50, "f" + i));

            List<Rejection<String>> rejected = offer(DRAFTS, 50, "draft");

            assertThat(rejected).extracting(r -> r.slotRequest().payload()).containsExactly("f3");
        }

        @Test
        void shouldTellWhenTheQueueWillHaveDrained() {
            IntStream.range(0, 10).forEach(i -> offer(FORMS, 110, "f" + i));

            List<Rejection<String>> rejected = offer(FORMS, 60, "late");

            assertThat(rejected)
                    .extracting(Rejection::retryAfter)
                    .containsExactly(Duration.ofMillis(20));
            rejected = offer(FORMS, 110, "full");
            assertThat(rejected).hasSize(1);
        }

        @Test
        void shouldTakeRoomFromLongestLineWhenFull() {
            AdmissionQueue<String> small = AdmissionQueue.of(3);
            InstanceLoad load = new InstanceLoad(1, 1, 0, 0);
            IntStream.range(0, 3)
                    .forEach(i -> small.offer(new SlotRequest<>(FORMS, SERVICE, "f" + i), load, 0));

            List<Rejection<String>> rejected =
                    small.offer(new SlotRequest<>(DRAFTS, SERVICE, "draft"), load, 0);

            assertThat(rejected).extracting(r -> r.slotRequest().payload()).containsExactly("f2");
            assertThat(small.offer(new SlotRequest<>(FORMS, SERVICE, "f3"), load, 0)).hasSize(1);
        }
    }

    @Nested
    class Poll {
        @Test
        void shouldOrderByDeadlineWithinServiceAndTakeTurnsBetweenServices() {
            offer(FORMS, 900, "f2");
            offer(FORMS, 800, "f1");
            offer(FORMS, 950, "f3");
            offer(DRAFTS, 990, "d1");

            List<String> order =
                    IntStream.range(0, 4).mapToObj(i -> queue.poll().get().payload()).toList();

            assertThat(order).containsExactly("f1", "d1", "f2", "f3");
        }

        @Test
        void shouldServeLongPatienceAndRefuseShortAtOnceWhenRushIsTenfold() {
            Rush rush = new Rush();

            rush.run(Duration.ofSeconds(20));

            int capacity = (int) (rush.millis / 10);
            assertThat(rush.onTime).isGreaterThan(capacity * 9 / 10);
            assertThat(rush.late).isZero();
            assertThat(rush.longServed).isGreaterThan(capacity / 2);
            assertThat(rush.longestHeldBeforeRefusal).isZero();
        }
    }

    private List<Rejection<String>> offer(ServiceName service, long deadlineMillis, String name) {
        SlotRequest<String> ticket = new SlotRequest<>(service, deadlineMillis * MILLI, name);
        return queue.offer(ticket, ONE_SLOT, 0);
    }

    /** One slot of 10 ms and one arrival each millisecond, half of them with 50 ms of patience. */
    private static final class Rush {
        private final AdmissionQueue<Long> queue = AdmissionQueue.of(1_000);
        private final Deque<SlotRequest<Long>> running = new ArrayDeque<>();
        private long millis;
        private long endsMillis;
        private int onTime;
        private int late;
        private int longServed;
        private long longestHeldBeforeRefusal;

        private void run(Duration length) {
            for (millis = 0; millis < length.toMillis(); millis++) {
                finish();
                arrive();
                start();
            }
        }

        private void finish() {
            if (running.isEmpty() || endsMillis > millis) {
                return;
            }
            SlotRequest<Long> ticket = running.poll();
            boolean inTime = ticket.deadlineNanos() >= millis * MILLI;
            onTime += inTime ? 1 : 0;
            late += inTime ? 0 : 1;
            boolean patient = ticket.deadlineNanos() - ticket.payload() * MILLI > 1_000 * MILLI;
            longServed += patient ? 1 : 0;
        }

        private void arrive() {
            long patience = millis % 2 == 0 ? 50 : 5_000;
            SlotRequest<Long> ticket =
                    new SlotRequest<>(FORMS, (millis + patience) * MILLI, millis);
            InstanceLoad load = new InstanceLoad(1, running.size(), remaining(), SERVICE);
            queue.offer(ticket, load, millis * MILLI).stream()
                    .mapToLong(r -> millis - r.slotRequest().payload())
                    .forEach(
                            held ->
                                    longestHeldBeforeRefusal =
                                            Math.max(longestHeldBeforeRefusal, held));
        }

        private long remaining() {
            return running.isEmpty() ? 0 : (endsMillis - millis) * MILLI;
        }

        private void start() {
            if (running.isEmpty()) {
                queue.poll().ifPresent(running::add);
                endsMillis = millis + 10;
            }
        }
    }
}
