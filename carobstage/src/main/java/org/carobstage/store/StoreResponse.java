package org.carobstage.store;

import java.util.function.Consumer;

/**
 * The outcome of a call to the store.
 *
 * @param <T> the type of the result
 */
public sealed interface StoreResponse<T> {
    /**
     * The call was carried out.
     *
     * @param <T> the type of the result
     * @param value the result
     */
    record Success<T>(T value) implements StoreResponse<T> {}

    /**
     * A condition of the call does not hold, or what it names does not exist; nothing was done.
     *
     * @param <T> the type of the result
     */
    record Mismatch<T>() implements StoreResponse<T> {}

    /**
     * The store no longer has the history that the call asks for.
     *
     * @param <T> the type of the result
     */
    record HistoryGone<T>() implements StoreResponse<T> {}

    /**
     * The store refused the call; nothing was done.
     *
     * @param <T> the type of the result
     * @param status the HTTP status
     */
    record Refused<T>(int status) implements StoreResponse<T> {}

    /**
     * No answer came; the call may have been carried out or may yet be.
     *
     * @param <T> the type of the result
     * @param reason what was seen
     */
    record NoAnswer<T>(String reason) implements StoreResponse<T> {}

    /**
     * Runs an action if the call was carried out.
     *
     * @param action takes the result
     */
    default void ifSuccess(Consumer<T> action) {
        if (this instanceof Success<T> done) {
            action.accept(done.value());
        }
    }
}
