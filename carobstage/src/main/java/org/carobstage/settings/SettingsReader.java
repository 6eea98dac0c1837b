package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.VmId;
import org.ini4j.Ini;

/** Reads a process's settings from an INI file. */
public final class SettingsReader {
    private static final int DEFAULT_MAX_STATEMENT_BYTES = 65_536;
    private static final int DEFAULT_ENTRY_VMS = 1;

    private SettingsReader() {}

    /**
     * Reads settings.
     *
     * @param file the INI file
     * @return the settings
     * @throws CodedException if the file can't be read or does not check
     */
    public static Settings read(Path file) {
        requireNonNull(file, "file is null");
        try {
            Ini ini = new Ini(file.toFile());
            return new Settings(
                    VmId.of(required(ini, "vm", "id")),
                    FailureDomain.of(required(ini, "vm", "domain")),
                    Address.parse(required(ini, "caller", "listen")),
                    Address.parse(required(ini, "operator", "listen")),
                    Address.parse(required(ini, "platform", "address")),
                    number(ini, "caller", "max-statement-bytes", DEFAULT_MAX_STATEMENT_BYTES),
                    required(ini, "session", "token-key"),
                    number(ini, "vm", "entry-vms", DEFAULT_ENTRY_VMS));
        } catch (IOException | IllegalArgumentException e) {
            throw CodedException.of(ErrorCode.BAD_SETTINGS, file + ": " + e.getMessage(), e);
        }
    }

    private static String required(Ini ini, String section, String key) {
        return Optional.ofNullable(ini.get(section, key))
                .orElseThrow(() -> new IllegalArgumentException("missing: " + section + "." + key));
    }

    private static int number(Ini ini, String section, String key, int absent) {
        return Optional.ofNullable(ini.get(section, key)).map(Integer::valueOf).orElse(absent);
    }
}
