package org.carobstage.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.carobstage.model.GroupId;
import org.carobstage.model.LogPosition;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TokenCodecTest {
    private static final byte[] OLD_KEY = "old key".getBytes(StandardCharsets.UTF_8);
    private static final byte[] NEW_KEY = "new key".getBytes(StandardCharsets.UTF_8);
    private static final SessionPositions POSITIONS =
            SessionPositions.empty().withPosition(GroupId.of("varas-1"), LogPosition.of(3, 41));

    @Nested
    class Decode {
        @Test
        void shouldReturnPositionsWhenTokenIsAuthentic() {
            TokenCodec codec = TokenCodec.of(() -> List.of(OLD_KEY));

            assertThat(codec.decode(codec.encode(POSITIONS))).contains(POSITIONS);
        }

        @Test
        void shouldAcceptTokenWhenKeyWasRotated() {
            String token = TokenCodec.of(() -> List.of(OLD_KEY)).encode(POSITIONS);

            assertThat(TokenCodec.of(() -> List.of(NEW_KEY, OLD_KEY)).decode(token))
                    .contains(POSITIONS);
        }

        @Test
        void shouldRejectTokenWhenKeyIsUnknown() {
            String token = TokenCodec.of(() -> List.of(OLD_KEY)).encode(POSITIONS);

            assertThat(TokenCodec.of(() -> List.of(NEW_KEY)).decode(token)).isEmpty();
        }

        @Test
        void shouldRejectTokenWhenAnyCharacterWasAltered() {
            TokenCodec codec = TokenCodec.of(() -> List.of(OLD_KEY));
            String token = codec.encode(POSITIONS);

            for (int i = 0; i < token.length() - 1; i++) {
                char replacement = token.charAt(i) == 'A' ? 'B' : 'A';
                String alteredToken = token.substring(0, i) + replacement + token.substring(i + 1);
                assertThat(codec.decode(alteredToken)).as("character %d", i).isEmpty();
            }
        }
    }
}
