package org.carobstage.config;

import static java.util.Objects.requireNonNull;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.carobstage.document.DocumentReader;
import org.carobstage.error.CodedException;
import org.carobstage.platform.Entry;
import org.carobstage.platform.Platform;
import org.carobstage.platform.Platform.Changes;
import org.carobstage.runtime.Clock;

/** Follows the configuration in the platform's key-value service. */
public final class ConfigurationWatch implements AutoCloseable {
    /** The prefix of all configuration keys. */
    public static final String PREFIX = "config/";

    /** The prefix of the keys of team documents. */
    public static final String DOCUMENTS = PREFIX + "documents/";

    /** The prefix of the keys of groups. */
    public static final String GROUPS = PREFIX + "groups/";

    private static final Logger LOGGER = System.getLogger(ConfigurationWatch.class.getName());
    private static final Duration WAIT = Duration.ofSeconds(10);
    private static final Duration RETRY = Duration.ofMillis(200);

    private final Platform platform;
    private final Clock clock;
    private final Consumer<Configuration> listener;
    private final CompletableFuture<Configuration> first = new CompletableFuture<>();
    private Configuration current = Configuration.empty();
    private volatile boolean closed;

    private ConfigurationWatch(Platform platform, Clock clock, Consumer<Configuration> listener) {
        this.platform = platform;
        this.clock = clock;
        this.listener = listener;
    }

    /**
     * Starts to follow the configuration.
     *
     * @param platform the platform
     * @param clock the runtime's clock
     * @param listener called with each new configuration
     * @return the running watch
     */
    public static ConfigurationWatch of(
            Platform platform, Clock clock, Consumer<Configuration> listener) {
        requireNonNull(platform, "platform is null");
        ConfigurationWatch watch = new ConfigurationWatch(platform, clock, listener);
        watch.round(0);
        return watch;
    }

    /**
     * Returns the first configuration.
     *
     * @return a stage that completes once the configuration is known
     */
    public CompletionStage<Configuration> first() {
        return first;
    }

    @Override
    public void close() {
        closed = true;
    }

    private void round(long revision) {
        if (!closed) {
            platform.watch(PREFIX, revision, WAIT).thenAccept(c -> changed(c, revision));
        }
    }

    private void changed(Optional<Changes> changes, long revision) {
        if (changes.isEmpty()) {
            clock.schedule(() -> round(revision), RETRY);
            return;
        }
        changes.get().entries().forEach(this::apply);
        listener.accept(current);
        first.complete(current);
        round(changes.get().revision());
    }

    private void apply(Entry entry) {
        try {
            if (entry.key().startsWith(DOCUMENTS)) {
                current = current.with(DocumentReader.read(entry.value()));
            } else if (entry.key().startsWith(GROUPS)) {
                current = current.with(GroupReader.read(entry.value()));
            }
        } catch (CodedException e) {
            LOGGER.log(Level.ERROR, "not applied: " + entry.key(), e);
        }
    }
}
