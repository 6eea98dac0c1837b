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

/** What the caller interface needs of the rest of the process. */
public interface StatementService {
    /**
     * Returns what a team's document says of a request now.
     *
     * @param service the service
     * @param requestClass the request class
     * @return the policy
     * @throws CodedException if the service or class is unknown
     */
    RequestPolicy policy(ServiceName service, RequestClass requestClass);

    /**
     * Returns when a patience that starts now ends.
     *
     * @param patience the patience
     * @return the deadline, in ns of the runtime's clock
     */
    long deadlineNanos(Duration patience);

    /**
     * Runs a statement.
     *
     * @param request the statement
     * @return the outcome; the stage never fails
     */
    CompletionStage<Outcome> run(StatementRequest request);

    /**
     * Asks what became of a write.
     *
     * @param service the service it belonged to
     * @param group the group it went to
     * @param key its idempotency key
     * @return done, or unknown while nothing is recorded; the stage never fails
     * @throws CodedException if the group is unknown
     */
    CompletionStage<Outcome> lookUpOutcome(ServiceName service, GroupId group, IdempotencyKey key);

    /**
     * Opens a transaction.
     *
     * @param service the caller's service
     * @param group the group
     * @param policy the policy of the transaction's request class
     * @return the transaction or why there is none; the stage never fails
     * @throws CodedException if the group is unknown
     */
    CompletionStage<BeginResult> beginTransaction(
            ServiceName service, GroupId group, RequestPolicy policy);

    /**
     * Does something in an open transaction.
     *
     * @param step calls the table of transactions, on its duty
     * @return the outcome; the stage never fails
     */
    CompletionStage<Outcome> withTransactions(
            Function<TransactionRegistry, CompletionStage<Outcome>> step);
}
