package org.carobstage.group;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.carobstage.acknowledge.Confirmation;
import org.carobstage.backend.Backend;
import org.carobstage.backend.Standing;
import org.carobstage.model.GroupSpec;
import org.carobstage.model.InstanceId;
import org.carobstage.model.InstanceSpec;
import org.carobstage.model.LogPosition;
import org.carobstage.pool.InstancePool;
import org.carobstage.runtime.Clock;

/** One database group: its clients, its pools and the view of it. State changes on its duty. */
public final class Group implements AutoCloseable {
    private static final Duration WATCH_INTERVAL = Duration.ofMillis(20);
    private static final Duration WATCH_TIMEOUT = Duration.ofMillis(200);

    private final Map<InstanceId, Backend> backends = new LinkedHashMap<>();
    private final Map<InstanceId, InstancePool> pools = new LinkedHashMap<>();
    private final Confirmation confirmation;
    private final Clock clock;
    private final Executor duty;
    private volatile GroupView view;
    private volatile boolean closed;

    private Group(
            GroupSpec spec,
            Function<InstanceSpec, Backend> connect,
            Function<Backend, InstancePool> pool,
            Clock clock,
            Executor duty) {
        this.clock = clock;
        this.duty = duty;
        this.view = GroupView.of(spec);
        for (InstanceSpec instance : spec.instances()) {
            Backend backend = connect.apply(instance);
            backends.put(instance.id(), backend);
            pools.put(instance.id(), pool.apply(backend));
        }
        this.confirmation = Confirmation.of(backends.values());
    }

    /**
     * Creates a group and starts to watch its instances.
     *
     * @param spec the group
     * @param connect creates the client of an instance
     * @param pool creates the pool of an instance
     * @param clock the runtime's clock
     * @param duty runs the group's decisions one at a time
     * @return the group
     */
    public static Group of(
            GroupSpec spec,
            Function<InstanceSpec, Backend> connect,
            Function<Backend, InstancePool> pool,
            Clock clock,
            Executor duty) {
        requireNonNull(spec, "spec is null");
        Group group = new Group(spec, connect, pool, clock, duty);
        group.backends.values().forEach(group::watch);
        return group;
    }

    /**
     * Returns what is known of the group.
     *
     * @return the view
     */
    public GroupView view() {
        return view;
    }

    /**
     * Returns the pool of an instance.
     *
     * @param instance the instance
     * @return its pool
     */
    public InstancePool pool(InstanceId instance) {
        return pools.get(instance);
    }

    /**
     * Returns the confirmation of the group.
     *
     * @return the confirmation
     */
    public Confirmation confirmation() {
        return confirmation;
    }

    /**
     * Takes a standing in that came with an answer.
     *
     * @param standing the standing
     * @param nanos when the request was sent, in ns of the runtime's clock
     */
    public void observe(Standing standing, long nanos) {
        view = view.observe(standing, nanos);
    }

    @Override
    public void close() {
        closed = true;
        pools.values().forEach(InstancePool::close);
        backends.values().forEach(Backend::close);
    }

    private void watch(Backend backend) {
        if (closed) {
            return;
        }
        long asked = clock.nanoTime();
        backend.standing(LogPosition.empty(), Duration.ZERO, WATCH_TIMEOUT)
                .thenAcceptAsync(
                        standing -> {
                            standing.ifPresent(s -> observe(s, asked));
                            clock.schedule(() -> watch(backend), WATCH_INTERVAL);
                        },
                        duty);
    }
}
