package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import java.nio.file.Path;

/**
 * The certificate with which a server proves itself.
 *
 * @param certificate the file of the certificate chain, PEM
 * @param key the file of the private key, PKCS 8 in PEM
 */
public record TlsSettings(Path certificate, Path key) {
    /** Checks the settings. */
    public TlsSettings {
        requireNonNull(certificate, "certificate is null");
        requireNonNull(key, "key is null");
    }
}
