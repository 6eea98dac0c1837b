package org.carobstage.config;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.carobstage.platform.CasResult;
import org.carobstage.platform.Entry;
import org.carobstage.platform.Platform;

/**
 * Changes configuration entries. Each change carries an id, so that a change whose response was
 * lost can be distinguished from a change by another operator.
 */
public final class ConfigurationWriter {
    private static final int MAX_ATTEMPTS = 5;

    private final Platform platform;

    private ConfigurationWriter(Platform platform) {
        this.platform = platform;
    }

    /**
     * Creates a writer.
     *
     * @param platform the platform
     * @return the writer
     */
    public static ConfigurationWriter of(Platform platform) {
        return new ConfigurationWriter(requireNonNull(platform, "platform is null"));
    }

    /**
     * Changes an entry. The value carries the change's id as an INI comment, so that the change is
     * recognized when the entry is read back.
     *
     * @param key the key
     * @param expectedVersion the version that the operator has read, 0 for a new key
     * @param value the new value
     * @param changeId a unique id of the change
     * @return a stage that completes with the outcome, never exceptionally
     */
    public CompletionStage<Result> change(
            String key, long expectedVersion, String value, String changeId) {
        String valueWithChangeId = "; change " + changeId + "\n" + value;
        return swap(key, expectedVersion, valueWithChangeId, MAX_ATTEMPTS);
    }

    private CompletionStage<Result> swap(
            String key, long expectedVersion, String value, int attemptsLeft) {
        return platform.compareAndSwap(key, expectedVersion, value)
                .thenCompose(
                        result -> {
                            if (result instanceof CasResult.Swapped swapped) {
                                return completed(new Result.Accepted(swapped.entry()));
                            }
                            if (result instanceof CasResult.Conflict conflict) {
                                boolean responseLost = attemptsLeft < MAX_ATTEMPTS;
                                return completed(
                                        resolve(
                                                conflict.current(),
                                                expectedVersion,
                                                value,
                                                responseLost));
                            }
                            return readBack(key, expectedVersion, value, attemptsLeft);
                        });
    }

    private CompletionStage<Result> readBack(
            String key, long expectedVersion, String value, int attemptsLeft) {
        return platform.get(key)
                .thenCompose(
                        current -> {
                            Optional<Entry> changed =
                                    current.filter(e -> e.version() > expectedVersion);
                            if (changed.isPresent()) {
                                return completed(
                                        resolve(changed.get(), expectedVersion, value, true));
                            }
                            if (attemptsLeft > 1) {
                                return swap(key, expectedVersion, value, attemptsLeft - 1);
                            }
                            return completed(new Result.Unknown("no response from the platform"));
                        });
    }

    private static Result resolve(
            Entry current, long expectedVersion, String value, boolean responseLost) {
        if (current.version() == expectedVersion + 1 && current.value().equals(value)) {
            return new Result.Accepted(current);
        }
        if (responseLost && current.version() > expectedVersion + 1) {
            return new Result.Unknown("a response was lost and the entry has changed since");
        }
        return new Result.Conflict(current);
    }

    private static CompletionStage<Result> completed(Result result) {
        return CompletableFuture.completedFuture(result);
    }

    /** The outcome of a change. */
    public sealed interface Result {
        /**
         * The change was applied and is never reverted.
         *
         * @param entry the changed entry
         */
        record Accepted(Entry entry) implements Result {}

        /**
         * The change was not applied because the entry has changed since it was read.
         *
         * @param current the current entry
         */
        record Conflict(Entry current) implements Result {}

        /**
         * No response arrived; the change may have been applied or may still be.
         *
         * @param detail why the outcome is unknown
         */
        record Unknown(String detail) implements Result {}
    }
}
