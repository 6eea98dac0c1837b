package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.event.LogFormat;
import org.carobstage.http.ServerLimits;
import org.carobstage.http.TlsSettings;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.VmId;
import org.carobstage.security.Secret;
import org.carobstage.settings.IniReader.Section;

/** Reads a process's settings from an INI file; docs/OPERATIONS.md lists them. */
public final class SettingsReader {
    private static final int MAX_ENTRY_VMS = 10_000;
    private static final int MIN_BODY_BYTES = 64;
    private static final int MAX_BODY_BYTES = 16_777_216;
    private static final int DEFAULT_BODY_BYTES = 65_536;
    private static final int MIN_HEADER_BYTES = 1_024;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int DEFAULT_HEADER_BYTES = 16_384;
    private static final Duration MIN_IDLE = Duration.ofSeconds(70);
    private static final Duration MAX_IDLE = Duration.ofHours(1);
    private static final Duration DEFAULT_IDLE = Duration.ofSeconds(90);
    private static final Duration MAX_STOP = Duration.ofMinutes(10);
    private static final Duration DEFAULT_NOTICE = Duration.ofSeconds(2);
    private static final Duration DEFAULT_LIMIT = Duration.ofSeconds(30);

    private SettingsReader() {}

    /**
     * Reads settings.
     *
     * @param file the INI file
     * @return the settings
     * @throws CodedException if the file can't be read or has faults; it names all of them
     */
    public static Settings read(Path file) {
        requireNonNull(file, "file is null");
        try {
            return validate(file.toString(), Files.readString(file))
                    .orThrow(ErrorCode.BAD_SETTINGS);
        } catch (IOException e) {
            throw CodedException.of(ErrorCode.BAD_SETTINGS, "can't read " + file, e);
        }
    }

    /**
     * Checks settings.
     *
     * @param source the name of the file, for faults
     * @param text the INI text
     * @return the settings or all faults
     */
    public static ValidationResult<Settings> validate(String source, String text) {
        IniReader ini = IniReader.of(source, text);
        Supplier<VmSettings> vm = vm(ini.section("vm"));
        Supplier<CallerSettings> caller = caller(ini.section("caller"));
        Supplier<OperatorSettings> operator = operator(ini.section("operator"));
        Address platform = ini.section("platform").required("address", Address::parse);
        Supplier<SessionSettings> session = session(ini.section("session"));
        Supplier<ShutdownSettings> stop = stop(ini.section("stop"));
        Supplier<LogSettings> log = log(ini.section("log"));
        return ini.build(
                () ->
                        new Settings(
                                vm.get(),
                                caller.get(),
                                operator.get(),
                                new PlatformSettings(platform),
                                session.get(),
                                stop.get(),
                                log.get()));
    }

    private static Supplier<VmSettings> vm(Section section) {
        VmId id = section.required("id", VmId::of);
        FailureDomain domain = section.required("domain", FailureDomain::of);
        int vms = section.optional("entry-vms", ValueParsers.integer(1, MAX_ENTRY_VMS)).orElse(1);
        String region = section.optional("region", Function.identity()).orElse("");
        return () -> new VmSettings(id, domain, region, vms);
    }

    private static Supplier<CallerSettings> caller(Section section) {
        Address listen = section.required("listen", Address::parse);
        Optional<Address> http2 = section.optional("http2-listen", Address::parse);
        ServerLimits limits = limits(section);
        Optional<TlsSettings> tls = tls(section);
        return () -> new CallerSettings(listen, http2, limits, tls);
    }

    private static ServerLimits limits(Section section) {
        Function<String, Integer> body = ValueParsers.integer(MIN_BODY_BYTES, MAX_BODY_BYTES);
        Function<String, Integer> header = ValueParsers.integer(MIN_HEADER_BYTES, MAX_HEADER_BYTES);
        Function<String, Duration> idle = ValueParsers.duration(MIN_IDLE, MAX_IDLE);
        return new ServerLimits(
                section.optional("max-statement-bytes", body).orElse(DEFAULT_BODY_BYTES),
                section.optional("max-header-bytes", header).orElse(DEFAULT_HEADER_BYTES),
                section.optional("idle-timeout", idle).orElse(DEFAULT_IDLE));
    }

    private static Optional<TlsSettings> tls(Section section) {
        Optional<Path> certificate = section.optional("tls-certificate", SettingsReader::file);
        Optional<Path> key = section.optional("tls-key", SettingsReader::file);
        if (section.containsKey("tls-certificate") != section.containsKey("tls-key")) {
            section.addError("", "tls-certificate and tls-key go together");
        }
        return certificate.flatMap(c -> key.map(k -> new TlsSettings(c, k)));
    }

    private static Supplier<OperatorSettings> operator(Section section) {
        Address listen = section.required("listen", Address::parse);
        Optional<Secret> key = section.optional("key", Secret::of);
        Optional<TlsSettings> tls = tls(section);
        return () -> new OperatorSettings(listen, key, tls);
    }

    private static Supplier<SessionSettings> session(Section section) {
        Optional<Secret> key = section.optional("token-key", Secret::of);
        Optional<Path> keys = section.optional("token-keys-file", SettingsReader::file);
        if (section.containsKey("token-key") == section.containsKey("token-keys-file")) {
            section.addError("", "exactly one of token-key and token-keys-file is needed");
        }
        return () -> new SessionSettings(key, keys);
    }

    private static Supplier<ShutdownSettings> stop(Section section) {
        Function<String, Duration> upTo = ValueParsers.duration(Duration.ZERO, MAX_STOP);
        Duration notice = section.optional("notice", upTo).orElse(DEFAULT_NOTICE);
        Duration limit = section.optional("limit", upTo).orElse(DEFAULT_LIMIT);
        return () -> new ShutdownSettings(notice, limit);
    }

    private static Supplier<LogSettings> log(Section section) {
        LogFormat format =
                section.optional("format", ValueParsers.oneOf(LogFormat.class))
                        .orElse(LogFormat.TEXT);
        Level level = section.optional("level", ValueParsers.oneOf(Level.class)).orElse(Level.INFO);
        return () -> new LogSettings(format, level);
    }

    private static Path file(String text) {
        Path file = Path.of(text);
        if (!Files.isReadable(file)) {
            throw new IllegalArgumentException("can't read the file " + text);
        }
        return file;
    }
}
