package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.http.ServerLimits;
import org.carobstage.http.TlsSettings;
import org.carobstage.model.Address;

/**
 * Settings of the HTTP interface for callers.
 *
 * @param listenAddress address of the listener for HTTP/1.1 and, with TLS, also HTTP/2
 * @param http2ListenAddress address of the listener for HTTP/2 with prior knowledge, without TLS
 * @param limits the limits of a request and a connection
 * @param tls the certificate and its private key, empty for plain TCP
 */
public record CallerSettings(
        Address listenAddress,
        Optional<Address> http2ListenAddress,
        ServerLimits limits,
        Optional<TlsSettings> tls) {
    /** Rejects null components. */
    public CallerSettings {
        requireNonNull(listenAddress, "listenAddress is null");
        requireNonNull(http2ListenAddress, "http2ListenAddress is null");
        requireNonNull(limits, "limits is null");
        requireNonNull(tls, "tls is null");
    }
}
