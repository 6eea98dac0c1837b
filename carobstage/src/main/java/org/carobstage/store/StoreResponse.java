package org.carobstage.store;

import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The response to a call of the store.
 *
 * @param <T> the type of the result
 */
public sealed interface StoreResponse<T> {
    /**
     * The call succeeded.
     *
     * @param <T> the type of the result
     * @param value the result
     */
    record Success<T>(T value) implements StoreResponse<T> {}

    /**
     * A condition of the call does not hold, or its key or lease does not exist. The store changed
     * nothing.
     *
     * @param <T> the type of the result
     */
    record Mismatch<T>() implements StoreResponse<T> {}

    /**
     * The store has compacted the history that the call requires; list all keys again.
     *
     * @param <T> the type of the result
     */
    record HistoryGone<T>() implements StoreResponse<T> {}

    /**
     * The store rejected the call and changed nothing.
     *
     * @param <T> the type of the result
     * @param status the HTTP status
     */
    record Refused<T>(int status) implements StoreResponse<T> {}

    /**
     * No usable response arrived; the store may have executed the call or may still execute it.
     *
     * @param <T> the type of the result
     * @param reason the observed failure
     */
    record NoAnswer<T>(String reason) implements StoreResponse<T> {}

    /**
     * Converts the result.
     *
     * @param <R> the type of the converted result
     * @param function converts the result
     * @return the response with the converted result, or the same failure
     */
    default <R> StoreResponse<R> map(Function<T, R> function) {
        if (this instanceof Success<T> success) {
            return new Success<>(function.apply(success.value()));
        } else if (this instanceof Refused<T> refused) {
            return new Refused<>(refused.status());
        } else if (this instanceof NoAnswer<T> noAnswer) {
            return new NoAnswer<>(noAnswer.reason());
        }
        return this instanceof Mismatch<T> ? new Mismatch<>() : new HistoryGone<>();
    }

    /**
     * Runs an action if the call succeeded.
     *
     * @param action receives the result
     */
    default void ifSuccess(Consumer<T> action) {
        if (this instanceof Success<T> success) {
            action.accept(success.value());
        }
    }
}
