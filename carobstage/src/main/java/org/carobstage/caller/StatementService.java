package org.carobstage.caller;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.carobstage.document.RequestPolicy;
import org.carobstage.error.CodedException;
import org.carobstage.model.RequestClass;
import org.carobstage.model.ServiceName;
import org.carobstage.statement.Outcome;
import org.carobstage.statement.StatementRequest;

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
    long deadline(Duration patience);

    /**
     * Runs a statement.
     *
     * @param request the statement
     * @return the outcome; the stage never fails
     */
    CompletionStage<Outcome> run(StatementRequest request);
}
