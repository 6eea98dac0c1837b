package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.carobstage.account.ApiKey;
import org.carobstage.event.EventCode;
import org.carobstage.front.ProxyMetrics.RejectionCause;
import org.carobstage.model.AccountName;
import org.carobstage.route.RouteTable;
import org.carobstage.sql.Failure;
import org.carobstage.sql.FailureCode;

/** Waits until a session may open, or refuses it. */
final class SessionOpening {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private final SessionContext context;
    private final String database;
    private final ApiKey key;
    private final Consumer<Optional<AccountName>> onGranted;
    private final Consumer<Failure> onRefused;
    private boolean ended;

    SessionOpening(
            SessionContext context,
            String database,
            ApiKey key,
            Consumer<Optional<AccountName>> onGranted,
            Consumer<Failure> onRefused) {
        this.context = requireNonNull(context, "context is null");
        this.database = requireNonNull(database, "database is null");
        this.key = requireNonNull(key, "key is null");
        this.onGranted = requireNonNull(onGranted, "onGranted is null");
        this.onRefused = requireNonNull(onRefused, "onRefused is null");
    }

    void start() {
        poll(Duration.ZERO);
    }

    /** Ends the wait without a callback. */
    void cancel() {
        ended = true;
    }

    /** Refuses the session, unless the decision was made before. */
    void refuse(FailureCode code) {
        if (ended) {
            return;
        }
        ended = true;
        boolean unauthorized = code == FailureCode.UNAUTHORIZED;
        if (unauthorized) {
            context.metrics().recordRejection(RejectionCause.UNKNOWN_KEY);
        }
        context.requestLog()
                .record(
                        unauthorized ? EventCode.SESSION_UNAUTHORIZED : EventCode.SESSION_ENDED,
                        database,
                        "",
                        "code=" + code + " version=" + context.routeTable().get().version());
        onRefused.accept(
                Failure.of(code, unauthorized ? "no account holds this API key" : database));
    }

    private void poll(Duration waited) {
        if (ended) {
            return;
        }
        RouteTable table = context.routeTable().get();
        SessionAccess access = SessionAccess.decide(table, database, key, waited);
        if (access instanceof SessionAccess.Granted granted) {
            ended = true;
            onGranted.accept(granted.account());
        } else if (access instanceof SessionAccess.Refused refused) {
            refuse(refused.code());
        } else {
            context.clock().schedule(() -> poll(waited.plus(POLL_INTERVAL)), POLL_INTERVAL);
        }
    }
}
