package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import java.nio.file.Path;
import java.util.Optional;
import org.carobstage.security.Secret;

/**
 * What signs session tokens: a key, or a file of keys that is read again when it changes.
 *
 * @param tokenKey the key
 * @param tokenKeysFile the file, one key a line; the first signs, each is accepted
 */
public record SessionSettings(Optional<Secret> tokenKey, Optional<Path> tokenKeysFile) {
    /** Checks the settings. */
    public SessionSettings {
        requireNonNull(tokenKey, "tokenKey is null");
        requireNonNull(tokenKeysFile, "tokenKeysFile is null");
    }
}
