package org.carobstage.upstream;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.carobstage.model.InstanceId;

/** Status queries for read indexes, which wait for a connection like statements. */
final class StatusQueries implements ReadIndexService.Instances {
    private final InstancePools pools;
    private final Supplier<Optional<InstanceConnectionPool>> primaryPool;
    private final Consumer<ConnectionRequest> queue;
    private final Consumer<ConnectionRequest> cancellation;

    StatusQueries(
            InstancePools pools,
            Supplier<Optional<InstanceConnectionPool>> primaryPool,
            Consumer<ConnectionRequest> queue,
            Consumer<ConnectionRequest> cancellation) {
        this.pools = requireNonNull(pools, "pools is null");
        this.primaryPool = requireNonNull(primaryPool, "primaryPool is null");
        this.queue = requireNonNull(queue, "queue is null");
        this.cancellation = requireNonNull(cancellation, "cancellation is null");
    }

    @Override
    public Optional<InstanceId> primary() {
        return primaryPool.get().map(p -> p.entry().id());
    }

    @Override
    public List<InstanceId> byPreference() {
        Optional<InstanceId> primary = primary();
        Stream<InstanceId> others =
                pools.rankByLatency(pools.all().stream().filter(p -> !p.isSuspected()))
                        .map(p -> p.entry().id())
                        .filter(id -> !primary.equals(Optional.of(id)));
        return Stream.concat(primary.stream(), others).toList();
    }

    @Override
    public Runnable queryStatus(InstanceId instance, long deadlineNanos, Runnable onEnded) {
        ConnectionRequest request =
                new ConnectionRequest(
                        ConnectionRequest.Purpose.STATUS_QUERY,
                        pools.idsExcept(instance),
                        Map.of(),
                        deadlineNanos,
                        connection -> connection.requestStatus(onEnded),
                        reason -> onEnded.run());
        queue.accept(request);
        return () -> cancellation.accept(request);
    }
}
