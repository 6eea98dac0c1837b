package org.carobstage.http;

import static java.util.Objects.requireNonNull;

import io.servicetalk.transport.api.ServerSslConfig;
import io.servicetalk.transport.api.ServerSslConfigBuilder;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The files of a server's TLS certificate and private key.
 *
 * @param certificateFile the certificate chain in PEM
 * @param keyFile the private key as PKCS #8 in PEM
 */
public record TlsSettings(Path certificateFile, Path keyFile) {
    /** Rejects null components. */
    public TlsSettings {
        requireNonNull(certificateFile, "certificateFile is null");
        requireNonNull(keyFile, "keyFile is null");
    }

    /**
     * Creates the TLS configuration of a server that offers HTTP/2 and HTTP/1.1.
     *
     * @return the configuration
     */
    ServerSslConfig toServerConfig() {
        return new ServerSslConfigBuilder(() -> open(certificateFile), () -> open(keyFile)).build();
    }

    private static InputStream open(Path file) {
        try {
            return Files.newInputStream(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
