package org.carobstage.statement;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.atomic.AtomicLong;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.ServiceName;

/** Creates the idempotency keys under which the outcomes of writes are recorded. */
public final class IdempotencyKeyFactory {
    private final String prefix;
    private final AtomicLong next = new AtomicLong();

    private IdempotencyKeyFactory(String prefix) {
        this.prefix = prefix;
    }

    /**
     * Creates a factory.
     *
     * @param prefix unique to each run of a process
     * @return the factory
     */
    public static IdempotencyKeyFactory of(String prefix) {
        return new IdempotencyKeyFactory(requireNonNull(prefix, "prefix is null"));
    }

    /**
     * Creates a key for a write without one, so that its outcome can be looked up.
     *
     * @return a unique key
     */
    public IdempotencyKey generate() {
        return IdempotencyKey.of("generated/" + prefix + "/" + next.incrementAndGet());
    }

    /**
     * Scopes a caller's key to its service, so that keys of different services don't collide.
     *
     * @param service the service
     * @param key the caller's key
     * @return the key under which the outcome is recorded
     */
    public static IdempotencyKey scope(ServiceName service, IdempotencyKey key) {
        // Without slashes in the service, the first one ends it.
        String segment = service.value().replace("%", "%25").replace("/", "%2F");
        return IdempotencyKey.of("service/" + segment + "/" + key);
    }
}
