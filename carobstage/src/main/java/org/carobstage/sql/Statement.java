package org.carobstage.sql;

import org.carobstage.model.Term;

/** A statement of a client session, or one that the proxy sends to an instance itself. */
public sealed interface Statement {
    /**
     * Starts a transaction.
     *
     * @param readOnly whether a replica may serve it
     */
    record Begin(boolean isReadOnly) implements Statement {}

    /** Commits the open transaction. */
    record Commit() implements Statement {}

    /** Rolls the open transaction back. */
    record Rollback() implements Statement {}

    /**
     * Reads an item.
     *
     * @param item the item's key
     */
    record Read(String item) implements Statement {}

    /**
     * Writes an item.
     *
     * @param item the item's key
     * @param data the new data
     */
    record Write(String item, String data) implements Statement {}

    /**
     * Sets a value of the session.
     *
     * @param name the name of the value
     * @param value the value
     */
    record SetVariable(String name, String value) implements Statement {}

    /**
     * Prepares a statement.
     *
     * @param name the name to execute it by
     * @param write whether it writes
     * @param shape the prepared text
     */
    record Prepare(String name, boolean isWrite, String queryText) implements Statement {}

    /**
     * Executes a prepared statement.
     *
     * @param name the name it was prepared under
     * @param arguments the item and, for a write, its data
     */
    record Execute(String name, String arguments) implements Statement {}

    /**
     * Forgets a prepared statement.
     *
     * @param name the name it was prepared under
     */
    record Deallocate(String name) implements Statement {}

    /**
     * A text that is no statement.
     *
     * @param reason what is wrong with it
     */
    record Invalid(String reason) implements Statement {}

    /** Asks an instance for its {@link InstanceStatus}. */
    record QueryStatus() implements Statement {}

    /** Clears the values and prepared statements of a connection to an instance. */
    record Reset() implements Statement {}

    /**
     * Stops a replica from receiving the log.
     *
     * @param term a term above the newest one
     */
    record PauseReplication(Term term) implements Statement {}

    /** Lets a paused replica receive the log again. */
    record ResumeReplication() implements Statement {}

    /**
     * Tells whether losing the answer leaves the outcome of the statement unknown.
     *
     * @return true for a write and a commit
     */
    default boolean isWriteOrCommit() {
        return this instanceof Write || this instanceof Commit;
    }
}
