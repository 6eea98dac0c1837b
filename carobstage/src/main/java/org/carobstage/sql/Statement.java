package org.carobstage.sql;

import org.carobstage.model.Term;

/** A statement of a client session, or a control command of the proxy to an instance. */
public sealed interface Statement {
    /**
     * Starts a transaction.
     *
     * @param isReadOnly whether the transaction only reads, so that a replica may serve it
     */
    record Begin(boolean isReadOnly) implements Statement {}

    /** Commits the open transaction. */
    record Commit() implements Statement {}

    /** Rolls back the open transaction. */
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
     * Sets a session variable.
     *
     * @param name the name of the variable
     * @param value the value
     */
    record SetVariable(String name, String value) implements Statement {}

    /**
     * Prepares a statement.
     *
     * @param name the name of the prepared statement
     * @param isWrite whether it writes
     * @param queryText the statement text
     */
    record Prepare(String name, boolean isWrite, String queryText) implements Statement {}

    /**
     * Executes a prepared statement.
     *
     * @param name the name of the prepared statement
     * @param arguments the item and, for a write, its data
     */
    record Execute(String name, String arguments) implements Statement {}

    /**
     * Deallocates a prepared statement.
     *
     * @param name the name of the prepared statement
     */
    record Deallocate(String name) implements Statement {}

    /**
     * A statement that could not be parsed.
     *
     * @param reason the parse error
     */
    record Invalid(String reason) implements Statement {}

    /** Queries the {@link InstanceStatus} of an instance. */
    record QueryStatus() implements Statement {}

    /** Clears the session variables and prepared statements of a connection to an instance. */
    record Reset() implements Statement {}

    /**
     * Pauses log replication at a replica.
     *
     * @param term a term higher than the highest existing one
     */
    record PauseReplication(Term term) implements Statement {}

    /** Resumes log replication at a paused replica. */
    record ResumeReplication() implements Statement {}

    /**
     * Makes a replica of a primary that was replaced and does not know it yet.
     *
     * @param term the term of the new primary; a primary of this or a later term is not affected
     */
    record StepDown(Term term) implements Statement {}

    /**
     * Returns whether the outcome of the statement is unknown if its result is lost.
     *
     * @return true for a write and a commit
     */
    default boolean isWriteOrCommit() {
        return this instanceof Write || this instanceof Commit;
    }
}
