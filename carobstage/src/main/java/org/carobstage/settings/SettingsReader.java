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
    private static final Duration MIN_IDLE_TIMEOUT = Duration.ofSeconds(70);
    private static final Duration MAX_IDLE_TIMEOUT = Duration.ofHours(1);
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(90);
    private static final Duration MAX_SHUTDOWN_PHASE_DURATION = Duration.ofMinutes(10);
    private static final Duration DEFAULT_DEREGISTRATION_DELAY = Duration.ofSeconds(2);
    private static final Duration DEFAULT_DRAIN_TIMEOUT = Duration.ofSeconds(30);

    private SettingsReader() {}

    /**
     * Reads the settings of a process.
     *
     * @param file the INI file
     * @return the settings
     * @throws CodedException if the file can't be read or has errors; its message lists all errors
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
     * Validates the settings of a process.
     *
     * @param source the name of the file, for error messages
     * @param text the INI text
     * @return the settings or all errors
     */
    public static ValidationResult<Settings> validate(String source, String text) {
        IniReader ini = IniReader.of(source, text);
        Supplier<VmSettings> vm = vm(ini.section("vm"));
        Supplier<CallerSettings> caller = caller(ini.section("caller"));
        Supplier<OperatorSettings> operator = operator(ini.section("operator"));
        Address platform = ini.section("platform").required("address", Address::parse);
        Supplier<SessionSettings> session = session(ini.section("session"));
        Supplier<ShutdownSettings> shutdown = shutdown(ini.section("stop"));
        Supplier<LogSettings> log = log(ini.section("log"));
        return ini.build(
                () ->
                        new Settings(
                                vm.get(),
                                caller.get(),
                                operator.get(),
                                new PlatformSettings(platform),
                                session.get(),
                                shutdown.get(),
                                log.get()));
    }

    private static Supplier<VmSettings> vm(Section section) {
        VmId id = section.required("id", VmId::of);
        FailureDomain domain = section.required("domain", FailureDomain::of);
        int entryVmCount =
                section.optional("entry-vms", ValueParsers.integer(1, MAX_ENTRY_VMS)).orElse(1);
        String region = section.optional("region", Function.identity()).orElse("");
        return () -> new VmSettings(id, domain, region, entryVmCount);
    }

    private static Supplier<CallerSettings> caller(Section section) {
        Address listenAddress = section.required("listen", Address::parse);
        Optional<Address> http2ListenAddress = section.optional("http2-listen", Address::parse);
        ServerLimits limits = limits(section);
        Optional<TlsSettings> tls = tls(section);
        return () -> new CallerSettings(listenAddress, http2ListenAddress, limits, tls);
    }

    private static ServerLimits limits(Section section) {
        Function<String, Integer> bodyBytesParser =
                ValueParsers.integer(MIN_BODY_BYTES, MAX_BODY_BYTES);
        Function<String, Integer> headerBytesParser =
                ValueParsers.integer(MIN_HEADER_BYTES, MAX_HEADER_BYTES);
        Function<String, Duration> idleTimeoutParser =
                ValueParsers.duration(MIN_IDLE_TIMEOUT, MAX_IDLE_TIMEOUT);
        return new ServerLimits(
                section.optional("max-statement-bytes", bodyBytesParser).orElse(DEFAULT_BODY_BYTES),
                section.optional("max-header-bytes", headerBytesParser)
                        .orElse(DEFAULT_HEADER_BYTES),
                section.optional("idle-timeout", idleTimeoutParser).orElse(DEFAULT_IDLE_TIMEOUT));
    }

    private static Optional<TlsSettings> tls(Section section) {
        Optional<Path> certificate =
                section.optional("tls-certificate", SettingsReader::readableFile);
        Optional<Path> key = section.optional("tls-key", SettingsReader::readableFile);
        if (section.containsKey("tls-certificate") != section.containsKey("tls-key")) {
            section.addError("", "tls-certificate and tls-key must be set together");
        }
        return certificate.flatMap(c -> key.map(k -> new TlsSettings(c, k)));
    }

    private static Supplier<OperatorSettings> operator(Section section) {
        Address listenAddress = section.required("listen", Address::parse);
        Optional<Secret> key = section.optional("key", Secret::of);
        Optional<TlsSettings> tls = tls(section);
        return () -> new OperatorSettings(listenAddress, key, tls);
    }

    private static Supplier<SessionSettings> session(Section section) {
        Optional<Secret> tokenKey = section.optional("token-key", Secret::of);
        Optional<Path> tokenKeysFile =
                section.optional("token-keys-file", SettingsReader::readableFile);
        if (section.containsKey("token-key") == section.containsKey("token-keys-file")) {
            section.addError("", "exactly one of token-key and token-keys-file is required");
        }
        return () -> new SessionSettings(tokenKey, tokenKeysFile);
    }

    private static Supplier<ShutdownSettings> shutdown(Section section) {
        Function<String, Duration> durationParser =
                ValueParsers.duration(Duration.ZERO, MAX_SHUTDOWN_PHASE_DURATION);
        Duration deregistrationDelay =
                section.optional("notice", durationParser).orElse(DEFAULT_DEREGISTRATION_DELAY);
        Duration drainTimeout =
                section.optional("limit", durationParser).orElse(DEFAULT_DRAIN_TIMEOUT);
        return () -> new ShutdownSettings(deregistrationDelay, drainTimeout);
    }

    private static Supplier<LogSettings> log(Section section) {
        LogFormat format =
                section.optional("format", ValueParsers.oneOf(LogFormat.class))
                        .orElse(LogFormat.TEXT);
        Level level = section.optional("level", ValueParsers.oneOf(Level.class)).orElse(Level.INFO);
        return () -> new LogSettings(format, level);
    }

    private static Path readableFile(String text) {
        Path file = Path.of(text);
        if (!Files.isReadable(file)) {
            throw new IllegalArgumentException("can't read file " + text);
        }
        return file;
    }
}
