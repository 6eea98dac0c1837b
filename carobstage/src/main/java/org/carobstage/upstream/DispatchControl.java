package org.carobstage.upstream;

/** Decides whether a waiting request may use a connection to an instance now. */
interface DispatchControl {
    /** Returns whether a request may use a connection of a pool now. */
    boolean mayUse(ConnectionRequest request, InstanceConnectionPool pool);

    /** Records that a request received a connection. */
    void onGranted(ConnectionRequest request, PooledConnection connection);

    /** Frees a connection to the primary if a waiting request needs one held by an idle client. */
    void freeConnection(InstanceConnectionPool primary);

    /** Returns whether an idle client's connection may be freed for a request before a deadline. */
    boolean mayFreeConnection(InstanceConnectionPool primary, long deadlineNanos);

    /** Returns whether idle connections are left to better ranked requests of other accounts. */
    boolean reservesForOpening();

    /** Creates a control that lets all requests use any connection. */
    static DispatchControl unlimited() {
        return new DispatchControl() {
            @Override
            public boolean mayUse(ConnectionRequest request, InstanceConnectionPool pool) {
                return true;
            }

            @Override
            public void onGranted(ConnectionRequest request, PooledConnection connection) {}

            @Override
            public void freeConnection(InstanceConnectionPool primary) {}

            @Override
            public boolean reservesForOpening() {
                return false;
            }

            @Override
            public boolean mayFreeConnection(InstanceConnectionPool primary, long deadlineNanos) {
                return false;
            }
        };
    }
}
