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

/** Reads and changes the configuration in the platform's key-value service. */
final class ConfigurationStore {
    private static final String HISTORY = "history/";
    private static final int HISTORY_ATTEMPTS = 5;

    private final Platform platform;

    private ConfigurationStore(Platform platform) {
        this.platform = platform;
    }

    static ConfigurationStore of(Platform platform) {
        return new ConfigurationStore(requireNonNull(platform, "platform is null"));
    }

    Entry get(String key) {
        return answered(platform.get(key));
    }

    Platform.Changes list(String prefix) {
        return answered(platform.watch(prefix, 0, Duration.ZERO));
    }

    /** Returns the versions of a key that were replaced. */
    VersionHistory history(String key) {
        return parse(get(HISTORY + key));
    }

    /**
     * Replaces a version after it was kept in the history; a lost answer is resolved by reading.
     *
     * @return what stands now; the change took effect if its text is the given one
     */
    CasResult put(String key, long expectedVersion, String text) {
        Entry current = get(key);
        if (current.version() != expectedVersion) {
            return new CasResult.Conflict(current);
        }
        if (expectedVersion > 0) {
            archive(key, current);
        }
        CasResult result = join(platform.compareAndSwap(key, expectedVersion, text));
        return result instanceof CasResult.Unanswered
                ? readBack(key, expectedVersion, text)
                : result;
    }

    private CasResult readBack(String key, long expectedVersion, String text) {
        Entry now = get(key);
        boolean isMine = now.version() == expectedVersion + 1 && now.value().equals(text);
        if (isMine) {
            return new CasResult.Swapped(now);
        }
        return now.version() == expectedVersion
                ? new CasResult.Unanswered(
                        "the platform did not answer, and nothing was stored yet")
                : new CasResult.Conflict(now);
    }

    private void archive(String key, Entry replaced) {
        for (int i = 0; i < HISTORY_ATTEMPTS; i++) {
            Entry entry = get(HISTORY + key);
            VersionHistory next = parse(entry).withVersion(replaced.version(), replaced.value());
            String json = Json.writeString(next);
            if (json.equals(entry.value())
                    || join(platform.compareAndSwap(HISTORY + key, entry.version(), json))
                            instanceof CasResult.Swapped) {
                return;
            }
        }
        throw CodedException.of(
                ErrorCode.PLATFORM_UNAVAILABLE, "the history could not be kept; nothing changed");
    }

    private static VersionHistory parse(Entry entry) {
        return Optional.of(entry.value())
                .filter(value -> !value.isEmpty())
                .map(value -> value.getBytes(StandardCharsets.UTF_8))
                .map(bytes -> Json.read(bytes, VersionHistory.class))
                .orElse(VersionHistory.empty());
    }

    private static <T> T answered(CompletionStage<Optional<T>> stage) {
        return join(stage)
                .orElseThrow(
                        () ->
                                CodedException.of(
                                        ErrorCode.PLATFORM_UNAVAILABLE,
                                        "the platform did not answer"));
    }

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }
}
