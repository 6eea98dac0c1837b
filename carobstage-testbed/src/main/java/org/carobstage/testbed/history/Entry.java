package org.carobstage.testbed.history;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * A row of the table {@code entry}; callers insert rows and never update or delete them.
 *
 * @param id the identifier, unique to one write
 * @param owner the owner in whose list the row is
 */
public record Entry(long id, String owner) {
    /** Creates the table. */
    public static final String CREATE_TABLE =
            "CREATE TABLE IF NOT EXISTS entry (id BIGINT, owner VARCHAR)";

    /** Creates the index for {@link #SELECT_BY_OWNER}. */
    public static final String CREATE_INDEX =
            "CREATE INDEX IF NOT EXISTS entry_owner ON entry (owner)";

    /** Inserts a row; the parameters are the identifier and the owner. */
    public static final String INSERT = "INSERT INTO entry VALUES (?, ?)";

    /** Selects the rows of an owner; the parameter is the owner. */
    public static final String SELECT_BY_OWNER = "SELECT id, owner FROM entry WHERE owner = ?";

    /** Selects all rows. */
    public static final String SELECT_ALL = "SELECT id, owner FROM entry";

    /** Rejects a null owner. */
    public Entry {
        requireNonNull(owner, "owner is null");
    }

    /**
     * Converts a result row of {@link #SELECT_BY_OWNER} or {@link #SELECT_ALL}.
     *
     * @param row the column values
     * @return the entry
     */
    public static Entry of(List<Object> row) {
        return new Entry(((Number) row.get(0)).longValue(), (String) row.get(1));
    }
}
