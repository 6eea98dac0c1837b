package org.carobstage.runtime;

import static java.util.Objects.requireNonNull;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Deque;

/** Collects resources and closes them in reverse order. */
public final class Closer implements AutoCloseable {
    private static final Logger LOGGER = System.getLogger(Closer.class.getName());

    private final Deque<AutoCloseable> resources = new ArrayDeque<>();

    private Closer() {}

    /**
     * Creates a closer without resources.
     *
     * @return the closer
     */
    public static Closer empty() {
        return new Closer();
    }

    /**
     * Adds a resource.
     *
     * @param <T> the type of the resource
     * @param resource the resource
     * @return the same resource
     */
    public synchronized <T extends AutoCloseable> T add(T resource) {
        resources.push(requireNonNull(resource, "resource is null"));
        return resource;
    }

    /**
     * Closes all resources, the last one first; if closing one fails, the others are still closed.
     */
    @Override
    public synchronized void close() {
        while (!resources.isEmpty()) {
            closeQuietly(resources.pop());
        }
    }

    private static void closeQuietly(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception e) {
            LOGGER.log(Level.WARNING, "failed to close resource: " + resource, e);
        }
    }
}
