package org.carobstage.fake;

import java.net.BindException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.carobstage.model.Address;
import org.carobstage.peer.PeerTransport;
import org.carobstage.runtime.Clock;

/** An in-memory network of peers; links can be reset, or lose their messages without a reset. */
public final class FakePeerNetwork {
    private static final Duration LATENCY = Duration.ofMillis(1);

    private final Clock clock;
    private final Map<Address, Function<PeerTransport.Link, PeerTransport.Receiver>> listeners =
            new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private final Set<Address> silent = new HashSet<>();
    private int connectCount;

    private FakePeerNetwork(Clock clock) {
        this.clock = clock;
    }

    public static FakePeerNetwork of(Clock clock) {
        return new FakePeerNetwork(clock);
    }

    /** Returns the transport of one process. */
    public PeerTransport transport() {
        return new Transport();
    }

    /** Loses all messages to and from the links to an address, without a reset. */
    public void setSilent(Address address, boolean isSilent) {
        if (isSilent) {
            silent.add(address);
        } else {
            silent.remove(address);
        }
    }

    /** Resets all links. */
    public void resetAll() {
        List.copyOf(ends).forEach(End::close);
    }

    public int listenerCount() {
        return listeners.size();
    }

    public int connectCount() {
        return connectCount;
    }

    private final class Transport implements PeerTransport {
        @Override
        public CompletionStage<Address> listen(Address address, Function<Link, Receiver> receiver) {
            return listeners.putIfAbsent(address, receiver) == null
                    ? CompletableFuture.completedFuture(address)
                    : CompletableFuture.failedFuture(new BindException("address in use"));
        }

        @Override
        public void connect(
                Address address,
                Duration timeout,
                Function<Link, Receiver> receiver,
                Runnable onFailed) {
            connectCount++;
            if (!listeners.containsKey(address)) {
                clock.schedule(onFailed, LATENCY);
                return;
            }
            if (silent.contains(address)) {
                clock.schedule(onFailed, timeout);
                return;
            }
            clock.schedule(
                    () -> {
                        End near = new End(address);
                        End far = new End(address);
                        near.other = far;
                        far.other = near;
                        far.receiver = listeners.get(address).apply(far);
                        near.receiver = receiver.apply(near);
                    },
                    LATENCY);
        }
    }

    private final class End implements PeerTransport.Link {
        private final Address address;
        private End other;
        private PeerTransport.Receiver receiver;
        private boolean closed;

        private End(Address address) {
            this.address = address;
            ends.add(this);
        }

        @Override
        public boolean send(byte[] message) {
            if (!closed && !silent.contains(address)) {
                byte[] copy = message.clone();
                clock.schedule(() -> other.receive(copy), LATENCY);
            }
            return !closed;
        }

        @Override
        public void close() {
            close(Optional.empty());
            if (!silent.contains(address)) {
                clock.schedule(() -> other.close(Optional.empty()), LATENCY);
            }
        }

        private void receive(byte[] message) {
            if (closed) {
                return;
            }
            try {
                receiver.onMessage(message);
            } catch (RuntimeException e) {
                close(Optional.of(e));
                clock.schedule(() -> other.close(Optional.empty()), LATENCY);
            }
        }

        private void close(Optional<Throwable> fault) {
            if (!closed) {
                closed = true;
                ends.remove(this);
                receiver.onClosed(fault);
            }
        }
    }
}
