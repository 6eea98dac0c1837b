package org.carobstage.quota;

import java.time.Duration;
import java.util.function.Consumer;
import org.carobstage.model.AccountName;

/** Decides whether an operation of a client account may run within the account's limit. */
@FunctionalInterface
public interface OperationLimiter {
    /**
     * Requests permission for one operation.
     *
     * @param account the account
     * @param callback receives the decision exactly once, at once or within a few hundred ms
     */
    void acquire(AccountName account, Consumer<Decision> callback);

    /**
     * Returns a limiter that permits every operation.
     *
     * @return the limiter
     */
    static OperationLimiter unlimited() {
        return (account, callback) -> callback.accept(new Decision.Permitted());
    }

    /** Whether an operation may run. */
    sealed interface Decision {
        /** The operation may run. */
        record Permitted() implements Decision {}

        /**
         * The operation exceeds the limit and must not run.
         *
         * @param retryAfter the time after which an operation is expected to be permitted
         */
        record Rejected(Duration retryAfter) implements Decision {}
    }
}
