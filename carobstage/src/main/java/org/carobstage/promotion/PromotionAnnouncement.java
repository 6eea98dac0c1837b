package org.carobstage.promotion;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.model.GroupId;
import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;

/**
 * Record of a promotion in the platform's key-value service. It is for information only: the
 * promised term, not this record, fences the previous primary.
 *
 * @param group the group
 * @param term the term, which also identifies the proposal
 * @param primary the primary of the term
 * @param proposer the VM that proposed it
 */
public record PromotionAnnouncement(GroupId group, Term term, InstanceId primary, String proposer) {
    private static final String KEY_PREFIX = "promotion/";
    private static final int FIELD_COUNT = 3;

    /** Rejects null components. */
    public PromotionAnnouncement {
        requireNonNull(group, "group is null");
        requireNonNull(term, "term is null");
        requireNonNull(primary, "primary is null");
        requireNonNull(proposer, "proposer is null");
    }

    /**
     * Returns the key of the record.
     *
     * @return the key
     */
    public String key() {
        return KEY_PREFIX + group.value();
    }

    /**
     * Returns the value of the record.
     *
     * @return term, primary and proposer, separated by spaces
     */
    public String value() {
        return term + " " + primary + " " + proposer;
    }

    /**
     * Parses the value of a record.
     *
     * @param group the group
     * @param value the stored value
     * @return the announcement, or empty if the value is malformed
     */
    public static Optional<PromotionAnnouncement> parse(GroupId group, String value) {
        String[] fields = value.split(" ", FIELD_COUNT);
        if (fields.length < FIELD_COUNT || !fields[0].matches("\\d{1,18}")) {
            return Optional.empty();
        }
        Term term = Term.of(Long.parseLong(fields[0]));
        return Optional.of(
                new PromotionAnnouncement(group, term, InstanceId.of(fields[1]), fields[2]));
    }
}
