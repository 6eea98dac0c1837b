package org.carobstage.testbed.history;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * One row of the table {@code entry}, which callers only add to.
 *
 * @param id the value that only one write carries
 * @param owner whose list the row belongs to
 */
public record Entry(long id, String owner) {
    /** Creates the table. */
    public static final String CREATE_TABLE =
            "CREATE TABLE IF NOT EXISTS entry (id BIGINT, owner VARCHAR)";

    /** Speeds up the list of one owner. */
    public static final String CREATE_INDEX =
            "CREATE INDEX IF NOT EXISTS entry_owner ON entry (owner)";

    /** Adds a row; takes the identifier and the owner. */
    public static final String INSERT = "INSERT INTO entry VALUES (?, ?)";

    /** Lists the rows of an owner; takes the owner. */
    public static final String SELECT_BY_OWNER = "SELECT id, owner FROM entry WHERE owner = ?";

    /** Lists all rows. */
    public static final String SELECT_ALL = "SELECT id, owner FROM entry";

    /** Checks the row. */
    public Entry {
        requireNonNull(owner, "owner is null");
    }

    /**
     * Reads a row of an answer to {@link #LIST}.
     *
     * @param row the values
     * @return the entry
     */
    public static Entry of(List<Object> row) {
        return new Entry(((Number) row.get(0)).longValue(), (String) row.get(1));
    }
}
