package org.carobstage.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.timeout.IdleStateEvent;
import java.net.SocketException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.Address;
import org.carobstage.peer.Greeting.Hello;
import org.carobstage.peer.Greeting.Proof;
import org.carobstage.peer.Greeting.Welcome;

/** One connection: the initiator sends messages and the acceptor receives them. */
final class PeerHandler extends SimpleChannelInboundHandler<ByteBuf> {
    static final int MAX_GREETING_BYTES = 1_024;
    static final int MAX_MESSAGE_BYTES = 4_194_304;
    static final int LENGTH_BYTES = 4;
    static final String DECODER = "decoder";

    private static final int MAX_WAITING = 256;

    private final PeerSecret secret;
    private final Address self;
    private final boolean initiator;
    private final BiConsumer<Address, byte[]> received;
    private final Consumer<String> refused;
    private final byte[] nonce;
    private final Deque<byte[]> waiting = new ArrayDeque<>();
    private Channel channel;
    private Hello hello;
    private byte[] expected;
    private boolean open;

    PeerHandler(
            PeerSecret secret,
            Address self,
            boolean initiator,
            BiConsumer<Address, byte[]> received,
            Consumer<String> refused) {
        this.secret = secret;
        this.self = self;
        this.initiator = initiator;
        this.received = received;
        this.refused = refused;
        this.nonce = secret.nonce();
    }

    /** Sends a message, or keeps it until the connection is open; false if there is no room. */
    synchronized boolean send(byte[] message) {
        if (open) {
            boolean room = channel.isWritable();
            if (room) {
                write(message);
            }
            return room;
        }
        return waiting.size() < MAX_WAITING && waiting.add(message);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        if (initiator) {
            write(PeerCodec.write(new Hello(Greeting.VERSION, self, nonce)));
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        byte[] bytes = new byte[frame.readableBytes()];
        frame.readBytes(bytes);
        if (!open) {
            greet(context, PeerCodec.readGreeting(bytes));
        } else if (!initiator) {
            received.accept(hello.address(), bytes);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Throwable shown = cause.getCause() == null ? cause : cause.getCause();
        if (!(cause instanceof SocketException)) {
            refused.accept(context.channel().remoteAddress() + ": " + shown.getMessage());
        }
        context.close();
    }

    private void greet(ChannelHandlerContext context, Greeting greeting) {
        if (!initiator && hello == null && greeting instanceof Hello first) {
            welcome(first);
        } else if (!initiator && hello != null && greeting instanceof Proof proof) {
            check(PeerSecret.same(expected, proof.proof()), "wrong proof");
            opened(context);
        } else if (initiator && greeting instanceof Welcome welcome) {
            answer(context, welcome);
        } else {
            throw CodedException.of(ErrorCode.UNAUTHORIZED, "greeting out of order");
        }
    }

    private void welcome(Hello first) {
        check(first.version() == Greeting.VERSION, "version " + first.version());
        check(first.address() != null && first.nonce() != null, "incomplete hello");
        hello = first;
        expected = proof("initiator", first.address(), first.nonce(), nonce);
        byte[] own = proof("acceptor", first.address(), first.nonce(), nonce);
        write(PeerCodec.write(new Welcome(Greeting.VERSION, nonce, own)));
    }

    private void answer(ChannelHandlerContext context, Welcome welcome) {
        check(welcome.version() == Greeting.VERSION, "version " + welcome.version());
        check(welcome.nonce() != null, "incomplete welcome");
        byte[] theirs = proof("acceptor", self, nonce, welcome.nonce());
        check(PeerSecret.same(theirs, welcome.proof()), "wrong proof");
        write(PeerCodec.write(new Proof(proof("initiator", self, nonce, welcome.nonce()))));
        opened(context);
    }

    private synchronized void opened(ChannelHandlerContext context) {
        open = true;
        context.pipeline().replace(DECODER, DECODER, decoder(MAX_MESSAGE_BYTES));
        waiting.forEach(this::write);
        waiting.clear();
    }

    static LengthFieldBasedFrameDecoder decoder(int maxBytes) {
        return new LengthFieldBasedFrameDecoder(maxBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    private byte[] proof(String role, Address address, byte[] first, byte[] second) {
        return secret.proof(role, address, first, second);
    }

    private void write(byte[] bytes) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }

    private static void check(boolean holds, String failure) {
        if (!holds) {
            throw CodedException.of(ErrorCode.UNAUTHORIZED, failure);
        }
    }
}
