package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.carobstage.account.ApiKey;
import org.carobstage.event.EventCode;
import org.carobstage.route.RouteTable;
import org.carobstage.sql.FailureCode;

/** The client sessions of a process. */
final class ClientSessions implements SessionFactory {
    private final SessionContext context;
    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    private boolean ending;

    private ClientSessions(SessionContext context) {
        this.context = requireNonNull(context, "context is null");
    }

    static ClientSessions of(SessionContext context) {
        return new ClientSessions(context);
    }

    int size() {
        return sessions.size();
    }

    boolean isEmpty() {
        return sessions.isEmpty();
    }

    @Override
    public ClientSession open(String database, ApiKey key, ClientChannel channel) {
        ClientSession[] self = new ClientSession[1];
        self[0] =
                new ClientSession(context, channel, database, key, () -> sessions.remove(self[0]));
        sessions.add(self[0]);
        if (ending) {
            self[0].endForShutdown();
        } else {
            self[0].open();
        }
        return self[0];
    }

    @Override
    public void recordRefusedStartup(FailureCode code) {
        context.metrics().increment("startups_refused_total{code=\"" + code + "\"}");
        context.requestLog()
                .record(EventCode.SESSION_ENDED, "", "", "code=" + code + " before STARTUP");
    }

    /** Ends the sessions that a route table no longer allows; returns the text to log, if any. */
    Optional<String> revoke(RouteTable table) {
        return SessionRevocation.apply(sessions, table);
    }

    void closeWhenIdle() {
        List.copyOf(sessions).forEach(ClientSession::closeWhenIdle);
    }

    /** Closes the sessions when they are idle, spread over a window. */
    void closeWhenIdle(Duration window) {
        List<ClientSession> all = List.copyOf(sessions);
        Duration interval = window.dividedBy(Math.max(1, all.size()));
        for (int i = 0; i < all.size(); i++) {
            context.clock().schedule(all.get(i)::closeWhenIdle, interval.multipliedBy(i));
        }
    }

    /** Answers the statements in progress, which will get no result before the process exits. */
    void timeOutStatements() {
        List.copyOf(sessions).forEach(ClientSession::timeOutStatement);
    }

    void abortTransactions() {
        List.copyOf(sessions).forEach(ClientSession::abortTransaction);
    }

    /** Starts no more statements, also of clients that connect from now on. */
    void endForShutdown() {
        ending = true;
        List.copyOf(sessions).forEach(ClientSession::endForShutdown);
    }
}
