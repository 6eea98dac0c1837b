package org.carobstage.platform;

import static java.util.Objects.requireNonNull;

/** The outcome of a compare-and-swap. */
public sealed interface CasResult {
    /**
     * The value was replaced.
     *
     * @param entry the new entry
     */
    record Swapped(Entry entry) implements CasResult {
        /** Rejects a null entry. */
        public Swapped {
            requireNonNull(entry, "entry is null");
        }
    }

    /**
     * The key did not have the expected version.
     *
     * @param current the current entry
     */
    record Conflict(Entry current) implements CasResult {
        /** Rejects a null current entry. */
        public Conflict {
            requireNonNull(current, "current is null");
        }
    }

    /**
     * No response arrived; the value may or may not have been replaced.
     *
     * @param detail the observed failure
     */
    record Unanswered(String detail) implements CasResult {
        /** Rejects a null detail. */
        public Unanswered {
            requireNonNull(detail, "detail is null");
        }
    }
}
