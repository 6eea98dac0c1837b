package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.carobstage.http.ServerLimits;
import org.carobstage.http.TlsSettings;
import org.carobstage.model.Address;

/**
 * How callers reach the process.
 *
 * @param listen where, over HTTP/1.1, and with TLS also over HTTP/2
 * @param http2Listen where over HTTP/2 by prior knowledge without TLS
 * @param limits what is accepted of a request and a connection
 * @param tls the certificate, empty for plain TCP
 */
public record CallerSettings(
        Address listenAddress,
        Optional<Address> http2ListenAddress,
        ServerLimits limits,
        Optional<TlsSettings> tls) {
    /** Checks the settings. */
    public CallerSettings {
        requireNonNull(listenAddress, "listen is null");
        requireNonNull(http2ListenAddress, "http2Listen is null");
        requireNonNull(limits, "limits is null");
        requireNonNull(tls, "tls is null");
    }
}
