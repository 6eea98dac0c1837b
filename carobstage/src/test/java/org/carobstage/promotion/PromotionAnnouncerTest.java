package org.carobstage.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;
import org.carobstage.model.VmId;
import org.carobstage.platform.CasResult;
import org.carobstage.platform.Entry;
import org.carobstage.platform.Platform;
import org.carobstage.platform.RegisteredVm;
import org.carobstage.runtime.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PromotionAnnouncerTest {
    private static final GroupId GROUP = GroupId.of("varas-1");

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final EventLog events = EventLog.of(VmId.of("one"), clock, 10);
    private final Store store = new Store();
    private final PromotionAnnouncer announcer = PromotionAnnouncer.of(store, clock, events);

    @Nested
    class Accept {
        @Test
        void shouldRecordWhenStoreIsAvailableAgain() {
            store.down = true;
            announcer.accept(announcement(5));
            clock.advance(Duration.ofSeconds(10));
            store.down = false;
            clock.advance(Duration.ofSeconds(2));

            assertThat(store.entry().value()).isEqualTo("5 b one");
        }

        @Test
        void shouldWriteOnceWhenResponseIsLost() {
            store.losesResponses = true;
            announcer.accept(announcement(5));
            clock.advance(Duration.ofSeconds(10));

            assertThat(store.entry()).isEqualTo(new Entry("promotion/varas-1", 1, "5 b one"));
        }

        @Test
        void shouldKeepLaterPromotionWhenItIsRecordedFirst() {
            announcer.accept(announcement(6));
            announcer.accept(announcement(5));
            clock.advance(Duration.ofSeconds(2));

            assertThat(store.entry().value()).startsWith("6 ");
        }

        @Test
        void shouldRecordEventWhenStoreStaysDown() {
            store.down = true;
            announcer.accept(announcement(5));
            clock.advance(Duration.ofSeconds(60));

            assertThat(events.localEvents())
                    .extracting(e -> e.code())
                    .containsExactly(EventCode.ANNOUNCEMENT_FAILED);
        }
    }

    private static PromotionAnnouncement announcement(long term) {
        return new PromotionAnnouncement(GROUP, Term.of(term), InstanceId.of("b"), "one");
    }

    /** A key-value service that may be down or lose the responses to writes. */
    private static final class Store implements Platform {
        private final Map<String, Entry> entries = new HashMap<>();
        private boolean down;
        private boolean losesResponses;

        private Entry entry() {
            return entries.get("promotion/varas-1");
        }

        @Override
        public CompletionStage<Optional<Entry>> get(String key) {
            Entry entry = entries.getOrDefault(key, Entry.absent(key));
            return completed(down ? Optional.empty() : Optional.of(entry));
        }

        @Override
        public CompletionStage<CasResult> compareAndSwap(
                String key, long expectedVersion, String value) {
            Entry current = entries.getOrDefault(key, Entry.absent(key));
            if (current.version() != expectedVersion) {
                return completed(new CasResult.Conflict(current));
            }
            Entry next = new Entry(key, expectedVersion + 1, value);
            entries.put(key, next);
            return completed(
                    losesResponses
                            ? new CasResult.Unanswered("lost")
                            : new CasResult.Swapped(next));
        }

        @Override
        public CompletionStage<Optional<Changes>> watch(
                String prefix, long afterRevision, Duration wait) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<Optional<Boolean>> acquireLease(
                String key, String holder, Duration ttl) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<Optional<List<RegisteredVm>>> listVms() {
            throw new UnsupportedOperationException();
        }

        @Override
        public void close() {
            // Nothing is held open.
        }

        private static <T> CompletionStage<T> completed(T value) {
            return CompletableFuture.completedFuture(value);
        }
    }
}
