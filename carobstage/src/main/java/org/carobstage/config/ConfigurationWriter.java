package org.carobstage.config;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.carobstage.platform.CasResult;
import org.carobstage.platform.Entry;
import org.carobstage.platform.Platform;

/** Changes the configuration so that a lost answer and another operator are told apart. */
public final class ConfigurationWriter {
    private static final int TRIES = 5;

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
     * known again when it is read back.
     *
     * @param key the key
     * @param seenVersion the version that the operator has seen, 0 for a new key
     * @param value the new value
     * @param changeId an id that no other change has
     * @return the outcome; the stage never fails
     */
    public CompletionStage<Result> change(
            String key, long seenVersion, String value, String changeId) {
        String marked = "; change " + changeId + "\n" + value;
        return swap(key, seenVersion, marked, TRIES);
    }

    private CompletionStage<Result> swap(String key, long seen, String value, int tries) {
        return platform.compareAndSwap(key, seen, value)
                .thenCompose(
                        result -> {
                            if (result instanceof CasResult.Swapped swapped) {
                                return done(new Result.Accepted(swapped.entry()));
                            }
                            if (result instanceof CasResult.Conflict conflict) {
                                boolean lost = tries < TRIES;
                                return done(compare(conflict.current(), seen, value, lost));
                            }
                            return readBack(key, seen, value, tries);
                        });
    }

    private CompletionStage<Result> readBack(String key, long seen, String value, int tries) {
        return platform.get(key)
                .thenCompose(
                        current -> {
                            Optional<Entry> changed = current.filter(e -> e.version() > seen);
                            if (changed.isPresent()) {
                                return done(compare(changed.get(), seen, value, true));
                            }
                            if (tries > 1) {
                                return swap(key, seen, value, tries - 1);
                            }
                            return done(new Result.Unknown("no answer from the platform"));
                        });
    }

    private static Result compare(Entry current, long seen, String value, boolean lost) {
        if (current.version() == seen + 1 && current.value().equals(value)) {
            return new Result.Accepted(current);
        }
        if (lost && current.version() > seen + 1) {
            return new Result.Unknown("an answer was lost and others changed the entry since");
        }
        return new Result.Conflict(current);
    }

    private static CompletionStage<Result> done(Result result) {
        return CompletableFuture.completedFuture(result);
    }

    /** What became of a change. */
    public sealed interface Result {
        /**
         * It took effect and never reverts.
         *
         * @param entry the entry that stands
         */
        record Accepted(Entry entry) implements Result {}

        /**
         * Another change stands.
         *
         * @param current the entry of the other change
         */
        record Conflict(Entry current) implements Result {}

        /**
         * No answer came; the change may still take effect.
         *
         * @param detail what was seen
         */
        record Unknown(String detail) implements Result {}
    }
}
