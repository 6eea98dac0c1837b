package org.carobstage.upstream;

/** Keeps the last connection to the primary for single statements while some wait for it. */
final class TransactionBulkhead {
    private TransactionBulkhead() {}

    /**
     * Returns whether a transaction may take a connection.
     *
     * @param limit how many connections this process may have to the primary
     * @param pinned how many of them transactions hold
     * @param statementsWaiting whether single statements wait for a connection to the primary
     * @return false if the connection is the last one and is left to single statements
     */
    static boolean allowsTransaction(int limit, int pinned, boolean statementsWaiting) {
        return limit < 2 || !statementsWaiting || pinned < limit - 1;
    }
}
