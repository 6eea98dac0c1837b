package org.carobstage.node;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.carobstage.caller.StatementService;
import org.carobstage.document.RequestPolicy;
import org.carobstage.model.GroupId;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.RequestClass;
import org.carobstage.model.ServiceName;
import org.carobstage.ownership.Forwarder;
import org.carobstage.statement.Outcome;
import org.carobstage.statement.StatementRequest;
import org.carobstage.transaction.BeginResult;
import org.carobstage.transaction.Transactions;

/** Serves callers here, but for statements that an owner of their group has to run. */
record RoutedService(StatementService local, Forwarder forwarder) implements StatementService {
    @Override
    public RequestPolicy policy(ServiceName service, RequestClass requestClass) {
        return local.policy(service, requestClass);
    }

    @Override
    public long deadline(Duration patience) {
        return local.deadline(patience);
    }

    @Override
    public CompletionStage<Outcome> run(StatementRequest request) {
        return forwarder.run(request);
    }

    @Override
    public CompletionStage<Outcome> lookUp(ServiceName service, GroupId group, IdempotencyKey key) {
        return local.lookUp(service, group, key);
    }

    @Override
    public CompletionStage<BeginResult> begin(
            ServiceName service, GroupId group, RequestPolicy policy) {
        return local.begin(service, group, policy);
    }

    @Override
    public CompletionStage<Outcome> inTransaction(
            Function<Transactions, CompletionStage<Outcome>> step) {
        return local.inTransaction(step);
    }
}
