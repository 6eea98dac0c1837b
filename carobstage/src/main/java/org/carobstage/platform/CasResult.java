package org.carobstage.platform;

import static java.util.Objects.requireNonNull;

/** The outcome of a compare-and-swap. */
public sealed interface CasResult {
    /**
     * The change took effect.
     *
     * @param entry the new entry
     */
    record Swapped(Entry entry) implements CasResult {
        /** Checks the result. */
        public Swapped {
            requireNonNull(entry, "entry is null");
        }
    }

    /**
     * Somebody else changed the key first.
     *
     * @param current the entry that stands
     */
    record Conflict(Entry current) implements CasResult {
        /** Checks the result. */
        public Conflict {
            requireNonNull(current, "current is null");
        }
    }

    /**
     * No answer came: the change may or may not have taken effect.
     *
     * @param detail what was seen
     */
    record Unanswered(String detail) implements CasResult {
        /** Checks the result. */
        public Unanswered {
            requireNonNull(detail, "detail is null");
        }
    }
}
