package org.carobstage.peer;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.LengthFieldPrepender;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.carobstage.event.HybridTime;
import org.carobstage.model.Address;
import org.carobstage.model.VmId;
import org.carobstage.peer.PeerMessage.Ping;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerHandlerTest {
    private static final Address SELF = Address.of("127.0.0.1", 1);
    private static final Ping PING = new Ping(7, VmId.of("vm-1"), 9, List.of());
    private static final byte[] BYTES = PeerCodec.write(new HybridTime(1, 2), PING);

    private final List<String> refused = new ArrayList<>();
    private final List<byte[]> received = new ArrayList<>();

    @Nested
    class Send {
        @Test
        void shouldDeliverWaitingMessagesWhenBothKnowTheSecret() {
            PeerHandler sender = handler("secret", true);
            sender.send(BYTES);
            connect(sender, handler("secret", false));

            assertThat(received).hasSize(1);
            assertThat(PeerCodec.read(received.get(0)).message()).isEqualTo(PING);
        }

        @Test
        void shouldCloseWithoutDeliveryWhenTheSecretsDiffer() {
            PeerHandler sender = handler("other", true);
            sender.send(BYTES);
            connect(sender, handler("secret", false));

            assertThat(received).isEmpty();
            assertThat(refused).hasSize(1).first().asString().contains("wrong proof");
        }

        @Test
        void shouldDropWhenTooManyMessagesWait() {
            PeerHandler sender = handler("secret", true);
            for (int i = 0; i < 256; i++) {
                assertThat(sender.send(BYTES)).isTrue();
            }

            assertThat(sender.send(BYTES)).isFalse();
        }
    }

    @Nested
    class Receive {
        @Test
        void shouldCloseWhenMessageComesBeforeTheGreeting() {
            EmbeddedChannel acceptor = channel(handler("secret", false));
            acceptor.writeInbound(frame(BYTES));

            assertThat(acceptor.isOpen()).isFalse();
            assertThat(refused).hasSize(1);
        }

        @Test
        void shouldCloseWhenTheInitiatorHasNoProof() {
            EmbeddedChannel acceptor = channel(handler("secret", false));
            byte[] hello = PeerCodec.write(new Greeting.Hello(1, SELF, new byte[16]));
            acceptor.writeInbound(frame(hello));
            acceptor.writeInbound(frame(PeerCodec.write(new Greeting.Proof(new byte[32]))));

            assertThat(acceptor.isOpen()).isFalse();
            assertThat(refused).hasSize(1);
        }

        @Test
        void shouldCloseWhenFrameIsOversized() {
            EmbeddedChannel acceptor = channel(handler("secret", false));
            acceptor.writeInbound(Unpooled.buffer().writeInt(Integer.MAX_VALUE).writeByte(1));

            assertThat(acceptor.isOpen()).isFalse();
        }

        @Test
        void shouldCloseWhenMessageIsOfAnUnknownKind() {
            byte[] unknown = BYTES.clone();
            int at = new String(BYTES, ISO_8859_1).indexOf("ping");
            unknown[at] = 'x';
            EmbeddedChannel acceptor = connect(handler("secret", true), decoding());
            acceptor.writeInbound(frame(unknown));

            assertThat(acceptor.isOpen()).isFalse();
            assertThat(refused).hasSize(1);
        }
    }

    @Property(seed = "42", tries = 300)
    void shouldNeverThrowWhenAnyBytesArrive(@ForAll @Size(max = 200) byte[] bytes) {
        EmbeddedChannel acceptor = channel(handler("secret", false));
        acceptor.writeInbound(Unpooled.wrappedBuffer(bytes));
        if (acceptor.isOpen()) {
            acceptor.writeInbound(frame(bytes));
        }

        assertThat(received).isEmpty();
        acceptor.checkException();
    }

    @Property(seed = "43", tries = 300)
    void shouldCloseOrDeliverWhenMessageIsMutated(
            @ForAll @IntRange(max = 200) int place, @ForAll byte value, @ForAll boolean cut) {
        byte[] bytes = BYTES.clone();
        bytes[place % bytes.length] = value;
        byte[] sent = cut ? Arrays.copyOf(bytes, place % bytes.length) : bytes;
        received.clear();
        EmbeddedChannel acceptor = connect(handler("secret", true), decoding());
        acceptor.writeInbound(frame(sent));

        acceptor.checkException();
        assertThat(acceptor.isOpen()).isEqualTo(received.size() == 1);
    }

    private PeerHandler handler(String secret, boolean initiator) {
        return new PeerHandler(
                PeerSecret.of(secret.getBytes(ISO_8859_1)),
                SELF,
                initiator,
                (from, bytes) -> received.add(bytes),
                refused::add);
    }

    private PeerHandler decoding() {
        return new PeerHandler(
                PeerSecret.of("secret".getBytes(ISO_8859_1)),
                SELF,
                false,
                (from, bytes) -> {
                    PeerCodec.read(bytes);
                    received.add(bytes);
                },
                refused::add);
    }

    private static EmbeddedChannel connect(PeerHandler initiator, PeerHandler acceptor) {
        EmbeddedChannel one = channel(initiator);
        EmbeddedChannel two = channel(acceptor);
        boolean moved = true;
        while (moved) {
            moved = move(one, two) | move(two, one);
        }
        return two;
    }

    private static boolean move(EmbeddedChannel from, EmbeddedChannel to) {
        ByteBuf bytes = from.readOutbound();
        if (bytes != null && to.isOpen()) {
            to.writeInbound(bytes);
        }
        return bytes != null;
    }

    private static EmbeddedChannel channel(PeerHandler handler) {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.pipeline()
                .addLast(PeerHandler.DECODER, PeerHandler.decoder(PeerHandler.MAX_GREETING_BYTES))
                .addLast(new LengthFieldPrepender(PeerHandler.LENGTH_BYTES))
                .addLast(handler);
        channel.pipeline().fireChannelActive();
        return channel;
    }

    private static ByteBuf frame(byte[] bytes) {
        return Unpooled.buffer().writeInt(bytes.length).writeBytes(bytes);
    }
}
