package org.carobstage.session;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.GroupId;
import org.carobstage.model.LogPosition;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes and decodes opaque session tokens that are authenticated with an HMAC. */
public final class TokenCodec {
    private static final byte VERSION = 1;
    private static final int TAG_BYTES = 16;
    private static final String ALGORITHM = "HmacSHA256";
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    private final Supplier<List<byte[]>> keys;

    private TokenCodec(Supplier<List<byte[]>> keys) {
        this.keys = keys;
    }

    /**
     * Creates a codec.
     *
     * @param keys the current keys: the first one signs new tokens, tokens of all keys are accepted
     * @return the codec
     */
    public static TokenCodec of(Supplier<List<byte[]>> keys) {
        return new TokenCodec(requireNonNull(keys, "keys is null"));
    }

    /**
     * Encodes a token.
     *
     * @param positions the positions that the session has observed
     * @return the token
     * @throws CodedException if the token can't be encoded
     */
    public String encode(SessionPositions positions) {
        Map<String, long[]> encoded = new LinkedHashMap<>();
        positions.positions().forEach((group, p) -> encoded.put(group.value(), toTermAndOffset(p)));
        try {
            byte[] payload = MAPPER.writeValueAsBytes(encoded);
            byte[] token = new byte[1 + TAG_BYTES + payload.length];
            token[0] = VERSION;
            byte[] tag = computeTag(keys.get().get(0), payload);
            System.arraycopy(tag, 0, token, 1, TAG_BYTES);
            System.arraycopy(payload, 0, token, 1 + TAG_BYTES, payload.length);
            return Base64.getUrlEncoder().withoutPadding().encodeToString(token);
        } catch (IOException e) {
            throw CodedException.of(ErrorCode.INTERNAL, "session token could not be encoded", e);
        }
    }

    /**
     * Decodes a token.
     *
     * @param text the token
     * @return the positions that the session has observed, or empty if the token is malformed or
     *     its HMAC does not match
     */
    public Optional<SessionPositions> decode(String text) {
        requireNonNull(text, "text is null");
        try {
            byte[] token = Base64.getUrlDecoder().decode(text);
            if (token.length <= 1 + TAG_BYTES || token[0] != VERSION) {
                return Optional.empty();
            }
            byte[] tag = Arrays.copyOfRange(token, 1, 1 + TAG_BYTES);
            byte[] payload = Arrays.copyOfRange(token, 1 + TAG_BYTES, token.length);
            boolean authentic =
                    keys.get().stream()
                            .anyMatch(key -> MessageDigest.isEqual(tag, computeTag(key, payload)));
            return authentic ? Optional.of(decodePositions(payload)) : Optional.empty();
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static long[] toTermAndOffset(LogPosition position) {
        return new long[] {position.term().number(), position.offset()};
    }

    private static SessionPositions decodePositions(byte[] payload) throws IOException {
        EncodedPositions encoded = MAPPER.readValue(payload, EncodedPositions.class);
        SessionPositions positions = SessionPositions.empty();
        for (Map.Entry<String, long[]> e : encoded.entrySet()) {
            LogPosition position = LogPosition.of(e.getValue()[0], e.getValue()[1]);
            positions = positions.withPosition(GroupId.of(e.getKey()), position);
        }
        return positions;
    }

    private static byte[] computeTag(byte[] key, byte[] payload) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
            return Arrays.copyOf(mac.doFinal(payload), TAG_BYTES);
        } catch (GeneralSecurityException e) {
            throw CodedException.of(
                    ErrorCode.INTERNAL, "HMAC of a session token could not be computed", e);
        }
    }

    private static final class EncodedPositions extends LinkedHashMap<String, long[]> {
        private static final long serialVersionUID = 1L;
    }
}
