package org.carobstage.caller;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.carobstage.document.RequestPolicy;
import org.carobstage.error.CodedException;
import org.carobstage.model.GroupId;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.RequestClass;
import org.carobstage.model.ServiceName;
import org.carobstage.statement.Outcome;
import org.carobstage.statement.StatementRequest;
import org.carobstage.transaction.BeginResult;
import org.carobstage.transaction.TransactionRegistry;

/** The operations of the process that the HTTP interface offers to callers. */
public interface StatementService {
    /**
     * Returns the policy that a team's document currently sets for a request class.
     *
     * @param service the caller's service
     * @param requestClass the request class
     * @return the policy
     * @throws CodedException if the service or class is unknown
     */
    RequestPolicy policy(ServiceName service, RequestClass requestClass);

    /**
     * Returns the deadline of a request that arrives now.
     *
     * @param patience how long the caller waits for the response
     * @return the deadline, in ns on the clock of this process
     */
    long deadlineNanos(Duration patience);

    /**
     * Runs a statement.
     *
     * @param request the statement with its policy and deadline
     * @return the outcome; the stage never completes exceptionally
     */
    CompletionStage<Outcome> run(StatementRequest request);

    /**
     * Looks up the outcome of a write.
     *
     * @param service the service that sent the write
     * @param group the group that the write was sent to
     * @param key the idempotency key of the write
     * @return done, or unknown if no outcome is recorded; the stage never completes exceptionally
     * @throws CodedException if the group is unknown
     */
    CompletionStage<Outcome> lookUpOutcome(ServiceName service, GroupId group, IdempotencyKey key);

    /**
     * Begins a transaction.
     *
     * @param service the caller's service
     * @param group the group
     * @param policy the policy of the transaction's request class
     * @return the transaction or the reason for its refusal; the stage never completes
     *     exceptionally
     * @throws CodedException if the group is unknown
     */
    CompletionStage<BeginResult> beginTransaction(
            ServiceName service, GroupId group, RequestPolicy policy);

    /**
     * Runs an operation on the open transactions.
     *
     * @param operation the operation; it runs on the worker thread that owns the transactions
     * @return the outcome; the stage never completes exceptionally
     */
    CompletionStage<Outcome> withTransactions(
            Function<TransactionRegistry, CompletionStage<Outcome>> operation);
}
