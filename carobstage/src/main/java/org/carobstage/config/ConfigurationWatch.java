package org.carobstage.config;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.membership.Peers;
import org.carobstage.model.Address;
import org.carobstage.peer.PeerMessage;
import org.carobstage.platform.Entry;
import org.carobstage.platform.ListedVm;
import org.carobstage.platform.Platform;
import org.carobstage.platform.Platform.Changes;
import org.carobstage.runtime.Clock;

/**
 * Follows the configuration: a few members of each region watch the platform, all others hear of
 * changes from their peers. All methods run on the fleet's duty.
 */
public final class ConfigurationWatch implements AutoCloseable {
    /** The prefix of all configuration keys. */
    public static final String PREFIX = ConfigurationKeys.PREFIX;

    /** The prefix of the keys of team documents. */
    public static final String DOCUMENTS = ConfigurationKeys.DOCUMENTS;

    /** The prefix of the keys of groups. */
    public static final String GROUPS = ConfigurationKeys.GROUPS;

    private static final Duration TICK = Duration.ofMillis(500);
    private static final Duration WAIT = Duration.ofSeconds(10);
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(1);
    private static final Duration FULL_INTERVAL = Duration.ofMinutes(10);
    private static final Duration JOIN_PATIENCE = Duration.ofSeconds(1);
    private static final Duration PEERS_PATIENCE = Duration.ofSeconds(3);

    private final Platform platform;
    private final Clock clock;
    private final Executor duty;
    private final Peers peers;
    private final Consumer<Configuration> listener;
    private final ConfigurationEntries entries;
    private final ConfigurationExchange exchange;
    private final ListedBackends listed;
    private final CompletableFuture<Configuration> first = new CompletableFuture<>();
    private volatile Consumer<List<ListedVm>> listListener = vms -> {};
    private final long started;
    private long revision;
    private long nextFull;
    private long nextList;
    private boolean watching;
    private boolean answered;
    private volatile boolean closed;

    private ConfigurationWatch(
            Platform platform,
            Clock clock,
            Executor duty,
            Peers peers,
            EventLog events,
            Consumer<Configuration> listener) {
        this.platform = platform;
        this.clock = clock;
        this.duty = duty;
        this.peers = peers;
        this.listener = listener;
        this.started = clock.nanoTime();
        this.nextFull = started;
        this.nextList = started;
        this.entries = new ConfigurationEntries((key, why) -> refuse(events, key, why));
        this.exchange = new ConfigurationExchange(entries, peers, clock);
        this.listed = new ListedBackends(entries, clock);
    }

    /**
     * Starts to follow the configuration.
     *
     * @param platform the platform
     * @param clock the runtime's clock
     * @param duty the fleet's duty
     * @param peers the other processes
     * @param events records entries that do not check
     * @param listener called with each new configuration
     * @return the running watch
     */
    public static ConfigurationWatch of(
            Platform platform,
            Clock clock,
            Executor duty,
            Peers peers,
            EventLog events,
            Consumer<Configuration> listener) {
        requireNonNull(platform, "platform is null");
        requireNonNull(peers, "peers is null");
        ConfigurationWatch watch =
                new ConfigurationWatch(platform, clock, duty, peers, events, listener);
        duty.execute(watch::tick);
        return watch;
    }

    /**
     * Returns the first configuration that may be served from.
     *
     * @return a stage that completes once the configuration is known
     */
    public CompletionStage<Configuration> first() {
        return first;
    }

    /**
     * Returns the digest of all versions, equal at processes with the same configuration.
     *
     * @return the digest, 0 as long as nothing may be served from it
     */
    public long digest() {
        return first.isDone() ? entries.digest() : 0;
    }

    /**
     * Returns the entries that this process has seen, with their versions.
     *
     * @return the entries
     */
    public List<Entry> entries() {
        return entries.all();
    }

    /**
     * Sets who hears of the platform's list when this process reads it.
     *
     * @param next takes the list on the fleet's duty
     */
    public void onList(Consumer<List<ListedVm>> next) {
        listListener = requireNonNull(next, "next is null");
    }

    /**
     * Takes in that a peer has a certain digest.
     *
     * @param peer the peer
     * @param digest its digest
     */
    public void seen(Address peer, long digest) {
        if (digest != 0 && digest != entries.digest()) {
            exchange.compare(peer);
        }
    }

    /**
     * Takes a message of a peer in; one of another matter is ignored.
     *
     * @param from the peer
     * @param message the message
     */
    public void received(Address from, PeerMessage message) {
        if (message instanceof PeerMessage.ConfigSummary summary && first.isDone()) {
            exchange.answer(from, summary);
        } else if (message instanceof PeerMessage.ConfigVersions versions) {
            exchange.answered(from, versions);
        } else if (message instanceof PeerMessage.ConfigRequest request) {
            exchange.sendKeys(from, request.keys());
        } else if (message instanceof PeerMessage.ConfigEntries fresh) {
            apply(fresh.entries());
            exchange.arrived(fresh.entries());
        }
        completeFirst();
    }

    @Override
    public void close() {
        closed = true;
    }

    private void tick() {
        if (closed) {
            return;
        }
        long now = clock.nanoTime();
        boolean mine = Watchers.isWatcher(peers.self(), peers.members());
        if (!watching && (mine || !answered && !first.isDone())) {
            watch(now);
        }
        if (mine && now - nextList >= 0) {
            nextList = now + LIST_INTERVAL.toNanos();
            platform.vms().thenAcceptAsync(l -> l.ifPresent(this::listed), duty);
        }
        if (!first.isDone()) {
            peers.others().stream().limit(2).forEach(m -> exchange.compare(m.peer()));
        }
        completeFirst();
        clock.schedule(() -> duty.execute(this::tick), TICK);
    }

    private void listed(List<ListedVm> vms) {
        apply(listed.news(vms));
        listListener.accept(vms);
    }

    private void watch(long now) {
        watching = true;
        boolean full = now - nextFull >= 0;
        long after = full ? 0 : revision;
        Duration wait = full ? Duration.ZERO : WAIT;
        platform.watch(PREFIX, after, wait).thenAcceptAsync(c -> changed(c, full), duty);
    }

    private void changed(Optional<Changes> changes, boolean full) {
        watching = false;
        if (changes.isEmpty() || closed) {
            return;
        }
        answered = true;
        if (full) {
            nextFull = clock.nanoTime() + FULL_INTERVAL.toNanos();
        }
        revision = changes.get().revision();
        apply(changes.get().entries());
        completeFirst();
        if (Watchers.isWatcher(peers.self(), peers.members())) {
            watch(clock.nanoTime());
        }
    }

    private void apply(Collection<Entry> news) {
        List<Entry> fresh = entries.merge(news);
        if (!fresh.isEmpty()) {
            exchange.push(fresh);
            if (first.isDone()) {
                listener.accept(entries.configuration());
            }
        }
    }

    /** Peers may know more than a platform that lags, so they are asked before the first use. */
    private void completeFirst() {
        Duration patience = peers.others().isEmpty() ? JOIN_PATIENCE : PEERS_PATIENCE;
        boolean waited = clock.nanoTime() - started >= patience.toNanos();
        boolean enough = exchange.compared() || answered && waited;
        if (enough && !first.isDone()) {
            listener.accept(entries.configuration());
            first.complete(entries.configuration());
        }
    }

    private static void refuse(EventLog events, String key, String why) {
        events.record(EventCode.CONFIGURATION_REFUSED, EventScope.empty(), key + ": " + why);
    }
}
