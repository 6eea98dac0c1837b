package org.carobstage.cli;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.carobstage.document.VersionHistory;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.http.Json;
import org.carobstage.platform.CasResult;
import org.carobstage.platform.Entry;
import org.carobstage.platform.Platform;

/** Reads and writes the configuration in the platform's key-value service. */
final class ConfigurationStore {
    private static final String HISTORY_PREFIX = "history/";
    private static final int MAX_HISTORY_ATTEMPTS = 5;

    private final Platform platform;

    private ConfigurationStore(Platform platform) {
        this.platform = platform;
    }

    static ConfigurationStore of(Platform platform) {
        return new ConfigurationStore(requireNonNull(platform, "platform is null"));
    }

    Entry get(String key) {
        return joinOrThrow(platform.get(key));
    }

    Platform.Changes list(String prefix) {
        return joinOrThrow(platform.watch(prefix, 0, Duration.ZERO));
    }

    /** Returns the replaced versions of a key. */
    VersionHistory history(String key) {
        return parse(get(HISTORY_PREFIX + key));
    }

    /**
     * Adds the current version to the history, then replaces it by compare-and-swap. If the
     * platform does not respond to the swap, reads the key to find out whether the change took
     * effect.
     *
     * @return {@link CasResult.Swapped} if the given text is now the current version
     */
    CasResult put(String key, long expectedVersion, String text) {
        Entry current = get(key);
        if (current.version() != expectedVersion) {
            return new CasResult.Conflict(current);
        }
        if (expectedVersion > 0) {
            addToHistory(key, current);
        }
        CasResult result = join(platform.compareAndSwap(key, expectedVersion, text));
        return result instanceof CasResult.Unanswered
                ? readBack(key, expectedVersion, text)
                : result;
    }

    private CasResult readBack(String key, long expectedVersion, String text) {
        Entry current = get(key);
        boolean tookEffect =
                current.version() == expectedVersion + 1 && current.value().equals(text);
        if (tookEffect) {
            return new CasResult.Swapped(current);
        }
        return current.version() == expectedVersion
                ? new CasResult.Unanswered(
                        "the platform did not respond; the change has not taken effect so far")
                : new CasResult.Conflict(current);
    }

    private void addToHistory(String key, Entry replaced) {
        for (int i = 0; i < MAX_HISTORY_ATTEMPTS; i++) {
            Entry entry = get(HISTORY_PREFIX + key);
            VersionHistory next = parse(entry).withVersion(replaced.version(), replaced.value());
            String json = Json.writeString(next);
            if (json.equals(entry.value())
                    || join(platform.compareAndSwap(HISTORY_PREFIX + key, entry.version(), json))
                            instanceof CasResult.Swapped) {
                return;
            }
        }
        throw CodedException.of(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "the current version could not be added to the history; nothing was changed");
    }

    private static VersionHistory parse(Entry entry) {
        return Optional.of(entry.value())
                .filter(value -> !value.isEmpty())
                .map(value -> value.getBytes(StandardCharsets.UTF_8))
                .map(bytes -> Json.read(bytes, VersionHistory.class))
                .orElse(VersionHistory.empty());
    }

    private static <T> T joinOrThrow(CompletionStage<Optional<T>> stage) {
        return join(stage)
                .orElseThrow(
                        () ->
                                CodedException.of(
                                        ErrorCode.PLATFORM_UNAVAILABLE,
                                        "the platform did not respond"));
    }

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }
}
