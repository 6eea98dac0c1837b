package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import java.nio.file.Path;
import java.util.Optional;
import org.carobstage.security.Secret;

/**
 * Signing keys of session tokens: either a single key or a file of keys that is reread when it
 * changes.
 *
 * @param tokenKey the single key
 * @param tokenKeysFile the file, one key per line; the first key signs tokens, and tokens signed
 *     with any of the keys are accepted
 */
public record SessionSettings(Optional<Secret> tokenKey, Optional<Path> tokenKeysFile) {
    /** Rejects null components. */
    public SessionSettings {
        requireNonNull(tokenKey, "tokenKey is null");
        requireNonNull(tokenKeysFile, "tokenKeysFile is null");
    }
}
