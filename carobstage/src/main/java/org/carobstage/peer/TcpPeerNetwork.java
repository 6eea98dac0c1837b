package org.carobstage.peer;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.model.Address;

/** The peer protocol over TCP: frames with a length field, MessagePack inside. */
public final class TcpPeerNetwork implements PeerNetwork {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int IDLE_SECONDS = 30;
    private static final int LOW_WATER_BYTES = 262_144;
    private static final int HIGH_WATER_BYTES = 8_388_608;

    private final EventLoopGroup loop =
            new NioEventLoopGroup(1, new DefaultThreadFactory("peers", true));
    private final PeerSecret secret;
    private final EventLog events;
    private final Map<Address, PeerHandler> connections = new ConcurrentHashMap<>();
    private volatile Listener listener = (from, message) -> {};
    private volatile Address address;

    private TcpPeerNetwork(PeerSecret secret, EventLog events) {
        this.secret = secret;
        this.events = events;
    }

    /**
     * Starts to listen.
     *
     * @param listen where to listen; port 0 takes a free port
     * @param secret the secret of the fleet
     * @param events records refusals
     * @return the running network
     */
    public static TcpPeerNetwork of(Address listen, PeerSecret secret, EventLog events) {
        requireNonNull(secret, "secret is null");
        requireNonNull(events, "events is null");
        TcpPeerNetwork network = new TcpPeerNetwork(secret, events);
        network.start(listen);
        return network;
    }

    @Override
    public Address address() {
        return address;
    }

    @Override
    public boolean send(Address to, PeerMessage message) {
        byte[] bytes = PeerCodec.write(events.now(), message);
        boolean fits = !loop.isShuttingDown() && bytes.length <= PeerHandler.MAX_MESSAGE_BYTES;
        return fits && connections.computeIfAbsent(to, this::connect).send(bytes);
    }

    @Override
    public void listen(Listener next) {
        listener = requireNonNull(next, "next is null");
    }

    @Override
    public void close() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void start(Address listen) {
        Channel server =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(pipeline(() -> handler(false)))
                        .bind(listen.toSocketAddress())
                        .syncUninterruptibly()
                        .channel();
        int port = ((InetSocketAddress) server.localAddress()).getPort();
        address = Address.of(listen.host(), port);
    }

    private PeerHandler connect(Address to) {
        PeerHandler handler = handler(true);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
                .handler(pipeline(() -> handler))
                .connect(to.toSocketAddress())
                .channel()
                .closeFuture()
                .addListener(closed -> connections.remove(to, handler));
        return handler;
    }

    private ChannelInitializer<SocketChannel> pipeline(Supplier<PeerHandler> handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(new IdleStateHandler(0, 0, IDLE_SECONDS))
                        .addLast(
                                PeerHandler.DECODER,
                                PeerHandler.decoder(PeerHandler.MAX_GREETING_BYTES))
                        .addLast(new LengthFieldPrepender(PeerHandler.LENGTH_BYTES))
                        .addLast(handler.get());
            }
        };
    }

    private PeerHandler handler(boolean initiator) {
        return new PeerHandler(secret, address, initiator, this::received, this::refuse);
    }

    private void received(Address from, byte[] bytes) {
        PeerCodec.Envelope envelope = PeerCodec.read(bytes);
        events.merge(envelope.time());
        listener.received(from, envelope.message());
    }

    private void refuse(String detail) {
        events.record(EventCode.PEER_REFUSED, EventScope.empty(), detail);
    }
}
