package org.carobstage.security;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.model.GroupId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.VmId;
import org.carobstage.runtime.ManualClock;
import org.carobstage.session.SessionPositions;
import org.carobstage.session.TokenCodec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TokenKeysTest {
    private static final SessionPositions POSITIONS =
            SessionPositions.empty().withPosition(GroupId.of("g"), LogPosition.of(1, 2));

    private final ManualClock clock = ManualClock.of(Instant.EPOCH);
    private final EventLog events = EventLog.of(VmId.of("one"), clock, 10);
    @TempDir private Path directory;

    @Nested
    class OfFile {
        @Test
        void shouldSignWithFirstKeyAndAcceptAllKeysWhenFileChanges() throws IOException {
            Path file = Files.writeString(directory.resolve("keys"), "the-first-key-of-all\n");
            TokenCodec codec = TokenCodec.of(TokenKeys.ofFile(file, clock, events));
            String oldToken = codec.encode(POSITIONS);

            Files.writeString(file, "the-second-key-of-all\nthe-first-key-of-all\n");
            clock.advance(Duration.ofSeconds(3));

            assertThat(codec.decode(oldToken)).contains(POSITIONS);
            assertThat(codec.encode(POSITIONS)).isNotEqualTo(oldToken);
            Files.writeString(file, "the-second-key-of-all\n");
            clock.advance(Duration.ofSeconds(3));
            assertThat(codec.decode(oldToken)).isEmpty();
        }

        @Test
        void shouldKeepKeysAndRecordOneEventWhenFileBecomesUnusable() throws IOException {
            Path file = Files.writeString(directory.resolve("keys"), "the-first-key-of-all\n");
            TokenCodec codec = TokenCodec.of(TokenKeys.ofFile(file, clock, events));
            String token = codec.encode(POSITIONS);

            Files.writeString(file, "short");
            clock.advance(Duration.ofSeconds(9));

            assertThat(codec.decode(token)).contains(POSITIONS);
            assertThat(events.localEvents())
                    .extracting(e -> e.code())
                    .containsExactly(EventCode.TOKEN_KEYS_READ, EventCode.TOKEN_KEYS_UNUSABLE);
            assertThat(events.localEvents().toString()).doesNotContain("first-key", "short\"");
        }
    }
}
