package org.carobstage.ownership;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.carobstage.document.RequestPolicy;
import org.carobstage.document.RequestPolicy.Access;
import org.carobstage.error.ErrorCode;
import org.carobstage.http.Json;
import org.carobstage.model.GroupId;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;
import org.carobstage.model.ServiceName;
import org.carobstage.session.SessionPositions;
import org.carobstage.statement.Outcome;
import org.carobstage.statement.StatementRequest;

/** Writes and reads statements and outcomes that pass between entry VMs. */
final class ForwardCodec {
    private ForwardCodec() {}

    static byte[] write(StatementRequest request) {
        RequestPolicy policy = request.policy();
        return Json.write(
                new Wire(
                        request.group().value(),
                        request.sql(),
                        request.parameters(),
                        policy.access(),
                        policy.staleness().toNanos(),
                        policy.idempotent(),
                        policy.patience().toNanos(),
                        request.session().map(ForwardCodec::positions).orElse(null),
                        request.key().map(IdempotencyKey::value).orElse(null)));
    }

    static StatementRequest read(String service, byte[] bytes, long deadlineNanos) {
        Wire wire = Json.read(bytes, Wire.class);
        RequestPolicy policy =
                new RequestPolicy(
                        wire.access(),
                        Duration.ofNanos(wire.stalenessNanos()),
                        wire.idempotent(),
                        Duration.ofNanos(wire.patienceNanos()));
        return new StatementRequest(
                ServiceName.of(service),
                GroupId.of(wire.group()),
                wire.sql(),
                wire.parameters(),
                policy,
                Optional.ofNullable(wire.session()).map(ForwardCodec::session),
                Optional.ofNullable(wire.key()).map(IdempotencyKey::of),
                deadlineNanos);
    }

    static byte[] write(Outcome outcome) {
        if (outcome instanceof Outcome.Done done) {
            return Json.write(new WireOutcome(new WireDone(done), null, null));
        }
        if (outcome instanceof Outcome.NotRun notRun) {
            Long retry = notRun.retryAfter().map(Duration::toMillis).orElse(null);
            WireNotRun wire = new WireNotRun(notRun.code(), notRun.detail(), retry);
            return Json.write(new WireOutcome(null, wire, null));
        }
        return Json.write(new WireOutcome(null, null, ((Outcome.Unknown) outcome).detail()));
    }

    static Outcome readOutcome(byte[] bytes) {
        WireOutcome wire = Json.read(bytes, WireOutcome.class);
        if (wire.done() != null) {
            return wire.done().toOutcome();
        }
        if (wire.notRun() != null) {
            WireNotRun n = wire.notRun();
            Optional<Duration> retry =
                    Optional.ofNullable(n.retryAfterMillis()).map(Duration::ofMillis);
            return new Outcome.NotRun(n.code(), n.detail(), retry);
        }
        return new Outcome.Unknown(String.valueOf(wire.unknown()));
    }

    private static Map<String, Place> positions(SessionPositions session) {
        return session.positions().entrySet().stream()
                .collect(Collectors.toMap(e -> e.getKey().value(), e -> Place.of(e.getValue())));
    }

    private static SessionPositions session(Map<String, Place> positions) {
        return new SessionPositions(
                positions.entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        e -> GroupId.of(e.getKey()),
                                        e -> e.getValue().toPosition())));
    }

    private record Wire(
            String group,
            String sql,
            List<Object> parameters,
            Access access,
            long stalenessNanos,
            boolean idempotent,
            long patienceNanos,
            Map<String, Place> session,
            String key) {}

    private record Place(long term, long offset) {
        private static Place of(LogPosition position) {
            return new Place(position.term().number(), position.offset());
        }

        private LogPosition toPosition() {
            return LogPosition.of(term, offset);
        }
    }

    private record WireOutcome(WireDone done, WireNotRun notRun, String unknown) {}

    private record WireNotRun(ErrorCode code, String detail, Long retryAfterMillis) {}

    private record WireDone(
            List<String> columns,
            List<List<Object>> rows,
            long changed,
            boolean replayed,
            Place seen,
            String instance,
            boolean replica) {
        private WireDone(Outcome.Done done) {
            this(
                    done.columns(),
                    done.rows(),
                    done.changed(),
                    done.replayed(),
                    Place.of(done.seen()),
                    done.instance().value(),
                    done.replica());
        }

        private Outcome toOutcome() {
            return new Outcome.Done(
                    columns,
                    rows,
                    changed,
                    replayed,
                    seen.toPosition(),
                    InstanceId.of(instance),
                    replica);
        }
    }
}
