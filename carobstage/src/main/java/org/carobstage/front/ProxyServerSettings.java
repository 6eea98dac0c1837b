package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.VmId;
import org.carobstage.quota.QuotaPolicy;
import org.carobstage.quota.QuotaSettings;
import org.carobstage.settings.IniReader;
import org.carobstage.settings.IniReader.Section;
import org.carobstage.settings.ValidationResult;
import org.carobstage.settings.ValueParsers;
import org.carobstage.upstream.AdmissionOrder;

/**
 * The settings of a proxy server.
 *
 * @param vm the VM that the process runs on
 * @param failureDomain the failure domain of the VM
 * @param clientAddress the address that accepts client connections
 * @param readinessAddress the address that serves readiness probes
 * @param metricsAddress the address that serves metrics
 * @param storeAddress the address of the metadata store
 * @param promotionAddress the address of the service that promotes instances
 * @param fencingEnforced whether the platform rejects promotion requests with an outdated fencing
 *     token, and a promotion ends the leadership of the former primary at once
 * @param shutdownTimeout the maximum duration of a graceful shutdown
 * @param quota how account limits are enforced, or empty if they are not
 * @param admissionOrder the order in which requests for a connection are granted
 * @param startupLimits the limits of client connections without a session
 */
public record ProxyServerSettings(
        VmId vm,
        FailureDomain failureDomain,
        Address clientAddress,
        Address readinessAddress,
        Address metricsAddress,
        Address storeAddress,
        Address promotionAddress,
        boolean fencingEnforced,
        Duration shutdownTimeout,
        Optional<QuotaSettings> quota,
        AdmissionOrder admissionOrder,
        StartupLimits startupLimits) {
    private static final Duration MAX_SHUTDOWN_TIMEOUT = Duration.ofMinutes(10);
    private static final Duration MIN_QUOTA_WINDOW = Duration.ofSeconds(1);
    private static final Duration MAX_QUOTA_WINDOW = Duration.ofHours(1);

    /** A smaller excess leaves granted tokens too little time to be used. */
    private static final double MIN_QUOTA_EXCESS = 0.01;

    private static final int MAX_QUOTA_SLACK = 1_000_000;

    /** Rejects null components. */
    public ProxyServerSettings {
        requireNonNull(vm, "vm is null");
        requireNonNull(failureDomain, "failureDomain is null");
        requireNonNull(clientAddress, "clientAddress is null");
        requireNonNull(readinessAddress, "readinessAddress is null");
        requireNonNull(metricsAddress, "metricsAddress is null");
        requireNonNull(storeAddress, "storeAddress is null");
        requireNonNull(promotionAddress, "promotionAddress is null");
        requireNonNull(shutdownTimeout, "shutdownTimeout is null");
        requireNonNull(quota, "quota is null");
        requireNonNull(admissionOrder, "admissionOrder is null");
        requireNonNull(startupLimits, "startupLimits is null");
    }

    /**
     * Creates settings that enforce no account limits, with the default order of admission and
     * limits of connections.
     *
     * @param vm the VM that the process runs on
     * @param failureDomain the failure domain of the VM
     * @param clientAddress the address that accepts client connections
     * @param readinessAddress the address that serves readiness probes
     * @param metricsAddress the address that serves metrics
     * @param storeAddress the address of the metadata store
     * @param promotionAddress the address of the service that promotes instances
     * @param fencingEnforced whether the platform rejects outdated fencing tokens
     * @param shutdownTimeout the maximum duration of a graceful shutdown
     */
    public ProxyServerSettings(
            VmId vm,
            FailureDomain failureDomain,
            Address clientAddress,
            Address readinessAddress,
            Address metricsAddress,
            Address storeAddress,
            Address promotionAddress,
            boolean fencingEnforced,
            Duration shutdownTimeout) {
        this(
                vm,
                failureDomain,
                clientAddress,
                readinessAddress,
                metricsAddress,
                storeAddress,
                promotionAddress,
                fencingEnforced,
                shutdownTimeout,
                Optional.empty(),
                AdmissionOrder.DEADLINE,
                StartupLimits.DEFAULT);
    }

    /**
     * Reads the settings from a file.
     *
     * @param file the INI file
     * @return the settings
     * @throws CodedException if the file can't be read or is invalid; its message lists all errors
     */
    public static ProxyServerSettings read(Path file) {
        requireNonNull(file, "file is null");
        try {
            return validate(file.toString(), Files.readString(file))
                    .orThrow(ErrorCode.BAD_SETTINGS);
        } catch (IOException e) {
            throw CodedException.of(ErrorCode.BAD_SETTINGS, "can't read " + file, e);
        }
    }

    /**
     * Parses and validates settings.
     *
     * @param source the file name, for error messages
     * @param text the INI text
     * @return the settings or all validation errors
     */
    public static ValidationResult<ProxyServerSettings> validate(String source, String text) {
        IniReader ini = IniReader.of(source, text);
        Section vm = ini.section("vm");
        VmId id = vm.required("id", VmId::of);
        FailureDomain failureDomain = vm.required("domain", FailureDomain::of);
        Section front = ini.section("front");
        Address clientAddress = front.required("listen", Address::parse);
        Address readinessAddress = front.required("readiness-listen", Address::parse);
        Address metricsAddress = front.required("metrics-listen", Address::parse);
        StartupLimits startupLimits = StartupLimits.read(front);
        Section platform = ini.section("platform");
        Address storeAddress = platform.required("store", Address::parse);
        Address promotionAddress = platform.required("orders", Address::parse);
        boolean fencingEnforced =
                platform.optional("enforces-fencing", ValueParsers::yesNo).orElse(false);
        Duration shutdownTimeout =
                ini.section("stop")
                        .required(
                                "limit",
                                ValueParsers.duration(Duration.ZERO, MAX_SHUTDOWN_TIMEOUT));
        Optional<QuotaSettings> quota = readQuota(ini);
        AdmissionOrder admissionOrder =
                ini.section("admission")
                        .optional("order", ValueParsers.oneOf(AdmissionOrder.class))
                        .orElse(AdmissionOrder.DEADLINE);
        Supplier<ProxyServerSettings> settings =
                () ->
                        new ProxyServerSettings(
                                id,
                                failureDomain,
                                clientAddress,
                                readinessAddress,
                                metricsAddress,
                                storeAddress,
                                promotionAddress,
                                fencingEnforced,
                                shutdownTimeout,
                                quota,
                                admissionOrder,
                                startupLimits);
        return ini.build(settings);
    }

    private static Optional<QuotaSettings> readQuota(IniReader ini) {
        Optional<Address> peerAddress =
                ini.section("peers").optional("listen", ProxyServerSettings::parsePeerAddress);
        if (!ini.hasSection("accounts")) {
            return Optional.empty();
        }
        Section accounts = ini.section("accounts");
        Optional<Duration> window =
                read(accounts, "window", ValueParsers.duration(MIN_QUOTA_WINDOW, MAX_QUOTA_WINDOW));
        Optional<Double> excess =
                read(accounts, "excess", ValueParsers.fraction(MIN_QUOTA_EXCESS, 1));
        Optional<Integer> slack = read(accounts, "slack", ValueParsers.integer(0, MAX_QUOTA_SLACK));
        return window.isPresent() && excess.isPresent() && slack.isPresent()
                ? Optional.of(
                        new QuotaSettings(
                                new QuotaPolicy(window.get(), excess.get(), slack.get()),
                                peerAddress))
                : Optional.empty();
    }

    private static Address parsePeerAddress(String text) {
        Address address = Address.parse(text);
        if (address.host().equals("0.0.0.0") || address.host().equals("::")) {
            throw new IllegalArgumentException("other processes can't reach " + address);
        }
        return address;
    }

    private static <T> Optional<T> read(Section section, String key, Function<String, T> parser) {
        return Optional.ofNullable(section.required(key, parser));
    }
}
