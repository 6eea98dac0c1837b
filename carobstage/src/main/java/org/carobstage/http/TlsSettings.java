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
 * The certificate with which a server proves itself.
 *
 * @param certificate the file of the certificate chain, PEM
 * @param key the file of the private key, PKCS 8 in PEM
 */
public record TlsSettings(Path certificateFile, Path keyFile) {
    /** Checks the settings. */
    public TlsSettings {
        requireNonNull(certificateFile, "certificate is null");
        requireNonNull(keyFile, "key is null");
    }

    /**
     * Opens the files for a server that offers HTTP/2 and HTTP/1.1.
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
