package org.carobstage.session;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.TreeMap;
import org.carobstage.model.GroupId;
import org.carobstage.model.LogPosition;

/**
 * The log position per group that a session has written or observed.
 *
 * @param positions the log positions by group
 */
public record SessionPositions(Map<GroupId, LogPosition> positions) {
    private static final SessionPositions EMPTY = new SessionPositions(Map.of());

    /** Rejects null components and copies the collections. */
    public SessionPositions {
        positions = Map.copyOf(requireNonNull(positions, "positions is null"));
    }

    /**
     * Returns the positions of a session that has observed no group.
     *
     * @return an empty set of positions
     */
    public static SessionPositions empty() {
        return EMPTY;
    }

    /**
     * Returns the log position that a read must reach to be consistent with the session.
     *
     * @param group the group
     * @return the position, the lowest one if the session has not observed the group
     */
    public LogPosition positionFor(GroupId group) {
        return positions.getOrDefault(group, LogPosition.empty());
    }

    /**
     * Returns whether the session has observed a position of a group.
     *
     * @param group the group
     * @return true if a position is known
     */
    public boolean hasPosition(GroupId group) {
        return positions.containsKey(group);
    }

    /**
     * Returns these positions raised to a newly observed position of a group.
     *
     * @param group the group
     * @param position the observed position
     * @return the updated positions; the higher position of the group is kept
     */
    public SessionPositions withPosition(GroupId group, LogPosition position) {
        Map<GroupId, LogPosition> updated = new TreeMap<>(positions);
        updated.merge(group, position, LogPosition::max);
        return new SessionPositions(updated);
    }
}
