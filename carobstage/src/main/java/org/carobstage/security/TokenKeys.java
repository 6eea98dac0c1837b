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

/** Signing keys of session tokens: the first key signs, all keys verify. */
public final class TokenKeys implements Supplier<List<byte[]>>, AutoCloseable {
    private static final Duration RELOAD_INTERVAL = Duration.ofSeconds(2);

    private volatile List<byte[]> keys;
    private volatile List<String> keyLines = List.of();
    private volatile boolean closed;
    private boolean isFileUsable = true;

    private TokenKeys(List<byte[]> keys) {
        this.keys = keys;
    }

    /**
     * Creates keys that never change.
     *
     * @param key the single key, which signs and verifies
     * @return the keys
     */
    public static TokenKeys of(Secret key) {
        return new TokenKeys(List.of(key.bytes()));
    }

    /**
     * Reads keys from a file, one per line, and checks the file for changes periodically.
     *
     * @param file the file
     * @param clock the clock that schedules the checks
     * @param events the log that records each change and failed read
     * @return the keys
     * @throws CodedException if the file can't be read, has no key or has a key that is too short
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
        clock.schedule(() -> keys.reload(file, clock, events), RELOAD_INTERVAL);
        return keys;
    }

    @Override
    public List<byte[]> get() {
        return keys;
    }

    /** Stops checking the file. */
    @Override
    public void close() {
        closed = true;
    }

    private void reload(Path file, Clock clock, EventLog events) {
        if (closed) {
            return;
        }
        try {
            read(file, events);
            isFileUsable = true;
        } catch (IOException | IllegalArgumentException e) {
            if (isFileUsable) {
                String detail = file + ": " + e.getMessage();
                events.record(EventCode.TOKEN_KEYS_UNUSABLE, EventScope.empty(), detail);
            }
            isFileUsable = false;
        }
        clock.schedule(() -> reload(file, clock, events), RELOAD_INTERVAL);
    }

    private void read(Path file, EventLog events) throws IOException {
        List<String> newLines =
                Files.readAllLines(file).stream()
                        .map(String::trim)
                        .filter(line -> !line.isEmpty())
                        .toList();
        if (newLines.isEmpty()) {
            throw new IllegalArgumentException("the file has no key");
        }
        if (newLines.equals(keyLines)) {
            return;
        }
        keys = newLines.stream().map(line -> Secret.of(line).bytes()).toList();
        keyLines = newLines;
        String detail = newLines.size() + " keys read; the first signs new tokens";
        events.record(EventCode.TOKEN_KEYS_READ, EventScope.empty(), detail);
    }
}
