package org.carobstage.session;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.TreeMap;
import org.carobstage.model.GroupId;
import org.carobstage.model.LogPosition;

/**
 * The log position per group that a session has written or seen.
 *
 * @param positions the positions
 */
public record SessionPositions(Map<GroupId, LogPosition> positions) {
    private static final SessionPositions EMPTY = new SessionPositions(Map.of());

    /** Checks the positions. */
    public SessionPositions {
        positions = Map.copyOf(requireNonNull(positions, "positions is null"));
    }

    /**
     * Returns the positions of a session that has seen nothing.
     *
     * @return no positions
     */
    public static SessionPositions empty() {
        return EMPTY;
    }

    /**
     * Returns what a read must cover to be consistent with the session.
     *
     * @param group the group
     * @return the position, the lowest if the session has not seen the group
     */
    public LogPosition positionFor(GroupId group) {
        return positions.getOrDefault(group, LogPosition.empty());
    }

    /**
     * Tells whether the session has seen a group.
     *
     * @param group the group
     * @return true if a position is known
     */
    public boolean hasPosition(GroupId group) {
        return positions.containsKey(group);
    }

    /**
     * Adds what the session has seen now.
     *
     * @param group the group
     * @param position the position
     * @return positions that cover both
     */
    public SessionPositions withPosition(GroupId group, LogPosition position) {
        Map<GroupId, LogPosition> next = new TreeMap<>(positions);
        next.merge(group, position, LogPosition::max);
        return new SessionPositions(next);
    }
}
