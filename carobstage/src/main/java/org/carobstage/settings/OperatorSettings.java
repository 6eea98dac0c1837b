package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.http.TlsSettings;
import org.carobstage.model.Address;
import org.carobstage.security.Secret;

/**
 * How operators and the platform's balancer reach the process.
 *
 * @param listen where
 * @param key what opens the pages that show internals or change something; empty closes them
 * @param tls the certificate, empty for plain TCP
 */
public record OperatorSettings(
        Address listenAddress, Optional<Secret> key, Optional<TlsSettings> tls) {
    /** Checks the settings. */
    public OperatorSettings {
        requireNonNull(listenAddress, "listen is null");
        requireNonNull(key, "key is null");
        requireNonNull(tls, "tls is null");
    }
}
