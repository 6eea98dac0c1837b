package org.carobstage.security;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.event.EventCode;
import org.carobstage.event.EventLog;
import org.carobstage.event.EventScope;
import org.carobstage.runtime.Clock;

/** The keys that sign session tokens: the first one signs, each is accepted. */
public final class TokenKeys implements Supplier<List<byte[]>>, AutoCloseable {
    private static final Duration INTERVAL = Duration.ofSeconds(2);

    private volatile List<byte[]> keys;
    private volatile List<String> lines = List.of();
    private volatile boolean closed;
    private boolean usable = true;

    private TokenKeys(List<byte[]> keys) {
        this.keys = keys;
    }

    /**
     * Creates keys that never change.
     *
     * @param key the only key
     * @return the keys
     */
    public static TokenKeys of(Secret key) {
        return new TokenKeys(List.of(key.bytes()));
    }

    /**
     * Reads keys from a file, one a line, and reads them again when it changes.
     *
     * @param file the file
     * @param clock the runtime's clock
     * @param events records each change
     * @return the keys
     * @throws CodedException if the file can't be used
     */
    public static TokenKeys ofFile(Path file, Clock clock, EventLog events) {
        requireNonNull(file, "file is null");
        TokenKeys keys = new TokenKeys(List.of());
        try {
            keys.read(file, events);
        } catch (IOException | IllegalArgumentException e) {
            throw CodedException.of(
                    ErrorCode.BAD_SETTINGS, file + ": token keys: " + e.getMessage(), e);
        }
        clock.schedule(() -> keys.reread(file, clock, events), INTERVAL);
        return keys;
    }

    @Override
    public List<byte[]> get() {
        return keys;
    }

    /** Stops reading the file. */
    @Override
    public void close() {
        closed = true;
    }

    private void reread(Path file, Clock clock, EventLog events) {
        if (closed) {
            return;
        }
        try {
            read(file, events);
            usable = true;
        } catch (IOException | IllegalArgumentException e) {
            if (usable) {
                String detail = file + ": " + e.getMessage();
                events.record(EventCode.TOKEN_KEYS_UNUSABLE, EventScope.empty(), detail);
            }
            usable = false;
        }
        clock.schedule(() -> reread(file, clock, events), INTERVAL);
    }

    private void read(Path file, EventLog events) throws IOException {
        List<String> next =
                Files.readAllLines(file).stream()
                        .map(String::trim)
                        .filter(line -> !line.isEmpty())
                        .toList();
        if (next.isEmpty()) {
            throw new IllegalArgumentException("no key");
        }
        if (next.equals(lines)) {
            return;
        }
        keys = next.stream().map(line -> Secret.of(line).bytes()).toList();
        lines = next;
        String detail = next.size() + " keys, the first one signs";
        events.record(EventCode.TOKEN_KEYS_READ, EventScope.empty(), detail);
    }
}
