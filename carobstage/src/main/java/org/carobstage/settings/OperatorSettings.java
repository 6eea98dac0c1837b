package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.http.TlsSettings;
import org.carobstage.model.Address;
import org.carobstage.security.Secret;

/**
 * Settings of the HTTP interface for operators and the platform's load balancer.
 *
 * @param listenAddress address of the listener
 * @param key the key that authorizes requests to protected paths; if empty, all of these requests
 *     are rejected
 * @param tls the certificate and its private key, empty for plain TCP
 */
public record OperatorSettings(
        Address listenAddress, Optional<Secret> key, Optional<TlsSettings> tls) {
    /** Rejects null components. */
    public OperatorSettings {
        requireNonNull(listenAddress, "listenAddress is null");
        requireNonNull(key, "key is null");
        requireNonNull(tls, "tls is null");
    }
}
