package org.carobstage.quota;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.carobstage.model.AccountName;
import org.carobstage.peer.PeerTransport;
import org.junit.jupiter.api.Test;

/** Guards against messages of peers that end the process or are decoded to values out of range. */
class QuotaMessageCodecTest {
    private static final String FIXED_SEED = "20261204";
    private static final QuotaShard SHARD = new QuotaShard(3);
    private static final QuotaRequest REQUEST =
            new QuotaRequest(SHARD, 1L << 60, 5, true, Map.of(AccountName.of("ü n"), 300));
    private static final QuotaResponse RESPONSE =
            new QuotaResponse(
                    SHARD,
                    7,
                    true,
                    Map.of(AccountName.of("a"), new Grant(4, Duration.ofMillis(90))));

    @Test
    void shouldDecodeWhatWasEncoded() {
        assertThat(QuotaMessageCodec.decodeRequest(encoded(REQUEST))).isEqualTo(REQUEST);
        assertThat(QuotaMessageCodec.decodeResponse(encoded(RESPONSE))).isEqualTo(RESPONSE);
    }

    // During an upgrade, processes of earlier builds exchange these bytes with new ones. They were
    // written by the build of commit 4251b19.
    @Test
    void shouldEncodeAndDecodeBytesOfEarlierBuild() {
        byte[] request = HexFormat.of().parseHex("9503cf100000000000000005c392a4c3bc206ecd012c");
        byte[] response = HexFormat.of().parseHex("940307c393a161045a");

        assertThat(encoded(REQUEST)).isEqualTo(request);
        assertThat(encoded(RESPONSE)).isEqualTo(response);
        assertThat(QuotaMessageCodec.decodeRequest(request)).isEqualTo(REQUEST);
        assertThat(QuotaMessageCodec.decodeResponse(response)).isEqualTo(RESPONSE);
    }

    // A client that comes back before the bucket has a token is rejected again.
    @Test
    void shouldRoundRetryTimeUpAndLimitIt() {
        assertThat(untilNext(Duration.ofNanos(1))).isEqualTo(Duration.ofMillis(1));
        assertThat(untilNext(Duration.ofSeconds(Long.MAX_VALUE))).isEqualTo(Duration.ofHours(1));
    }

    @Test
    void shouldNotEncodeMessageLongerThanFrame() {
        AccountName name = AccountName.of("x".repeat(PeerTransport.MAX_MESSAGE_BYTES));

        assertThat(QuotaMessageCodec.encode(new QuotaRequest(SHARD, 1, 0, false, Map.of(name, 1))))
                .isEmpty();
    }

    // The header announces 2 GiB, which the decoder of the library would allocate.
    @Test
    void shouldRejectMessageWhenItAnnouncesMoreThanItHas() {
        byte[] binary = {(byte) 0x95, (byte) 0xc6, 0x7f, -1, -1, -1, 0, 0, 0, 0};

        assertThatThrownBy(() -> QuotaMessageCodec.decodeRequest(binary))
                .isInstanceOf(IllegalArgumentException.class);
    }

    // A list in a list for each byte would overflow the stack of a recursive decoder.
    @Test
    void shouldRejectMessageWhenItIsNestedDeeply() {
        byte[] nested = new byte[PeerTransport.MAX_MESSAGE_BYTES];
        Arrays.fill(nested, (byte) 0x91);
        nested[nested.length - 1] = 0;

        assertThatThrownBy(() -> QuotaMessageCodec.decodeRequest(nested))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Property(tries = 4_000, seed = FIXED_SEED)
    void shouldDecodeAnyBytesOrRejectThem(@ForAll("messages") byte[] message) {
        assertThat(isDecodedOrRejected(() -> QuotaMessageCodec.decodeRequest(message))).isTrue();
        assertThat(isDecodedOrRejected(() -> QuotaMessageCodec.decodeResponse(message))).isTrue();
    }

    /** Valid messages of which some bytes are replaced, or that are cut. */
    @Provide
    Arbitrary<byte[]> messages() {
        Arbitrary<Byte> headers =
                Arbitraries.of(
                        (byte) 0xc1,
                        (byte) 0xc6,
                        (byte) 0xc9,
                        (byte) 0xcb,
                        (byte) 0xcf,
                        (byte) 0xd4,
                        (byte) 0xdb,
                        (byte) 0xdd,
                        (byte) 0xdf,
                        (byte) 0xff);
        Arbitrary<Byte> bytes = Arbitraries.oneOf(Arbitraries.bytes(), headers);
        Arbitrary<Integer> positions = Arbitraries.integers().between(0, 1_000);
        return Combinators.combine(
                        Arbitraries.of(encoded(REQUEST), encoded(RESPONSE)),
                        positions,
                        bytes,
                        positions,
                        bytes,
                        positions)
                .as(QuotaMessageCodecTest::mutate);
    }

    private static byte[] mutate(byte[] valid, int one, byte b1, int other, byte b2, int cut) {
        byte[] changed = valid.clone();
        changed[one % valid.length] = b1;
        changed[other % valid.length] = b2;
        return cut % 3 == 0 ? Arrays.copyOf(changed, cut % valid.length) : changed;
    }

    private static boolean isDecodedOrRejected(Runnable decoding) {
        try {
            decoding.run();
        } catch (IllegalArgumentException e) {
            return e.getMessage() != null;
        }
        return true;
    }

    private static Duration untilNext(Duration until) {
        AccountName name = AccountName.of("a");
        QuotaResponse response =
                new QuotaResponse(SHARD, 1, true, Map.of(name, new Grant(0, until)));
        return QuotaMessageCodec.decodeResponse(encoded(response)).grants().get(name).untilNext();
    }

    private static byte[] encoded(QuotaRequest request) {
        return Optional.of(request).flatMap(QuotaMessageCodec::encode).orElseThrow();
    }

    private static byte[] encoded(QuotaResponse response) {
        return Optional.of(response).flatMap(QuotaMessageCodec::encode).orElseThrow();
    }
}
