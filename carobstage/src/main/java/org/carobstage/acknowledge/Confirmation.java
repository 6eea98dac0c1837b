package org.carobstage.acknowledge;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import org.carobstage.backend.Backend;
import org.carobstage.backend.Standing;
import org.carobstage.model.InstanceId;
import org.carobstage.model.LogPosition;

/** Asks the replicas of a group whether they hold a position under its term. */
public final class Confirmation {
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(200);

    private final Collection<Backend> backends;

    private Confirmation(Collection<Backend> backends) {
        this.backends = backends;
    }

    /**
     * Creates the confirmation for a group.
     *
     * @param backends the instances of the group
     * @return the confirmation
     */
    public static Confirmation of(Collection<Backend> backends) {
        return new Confirmation(List.copyOf(requireNonNull(backends, "backends is null")));
    }

    /**
     * Asks, after now, whether a majority stands at the position's term and holds the position.
     *
     * @param primary the instance that reported the position and counts as one holder
     * @param position the position
     * @param patience the longest wait
     * @return true once proved, false if it could not be proved in time
     */
    public CompletionStage<Boolean> confirm(
            InstanceId primary, LogPosition position, Duration patience) {
        List<Backend> replicas =
                backends.stream().filter(b -> !b.spec().id().equals(primary)).toList();
        int needed = backends.size() / 2;
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        if (needed == 0) {
            result.complete(true);
        }
        AtomicInteger yes = new AtomicInteger();
        AtomicInteger left = new AtomicInteger(replicas.size());
        for (Backend replica : replicas) {
            ask(replica, position, patience)
                    .thenAccept(
                            confirmed -> {
                                if (confirmed && yes.incrementAndGet() == needed) {
                                    result.complete(true);
                                }
                                if (left.decrementAndGet() == 0) {
                                    result.complete(false);
                                }
                            });
        }
        return result;
    }

    private static CompletionStage<Boolean> ask(
            Backend replica, LogPosition position, Duration patience) {
        return replica.standing(position, patience, patience.plus(ANSWER_TIMEOUT))
                .thenApply(standing -> isConfirmed(standing, position));
    }

    private static boolean isConfirmed(Optional<Standing> standing, LogPosition position) {
        return standing.filter(s -> s.confirms(position)).isPresent();
    }
}
