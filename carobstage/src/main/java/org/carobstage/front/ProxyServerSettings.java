package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.function.Supplier;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.VmId;
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
 * @param admissionOrder the order in which requests for a connection are granted
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
        AdmissionOrder admissionOrder) {
    private static final Duration MAX_SHUTDOWN_TIMEOUT = Duration.ofMinutes(10);

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
        requireNonNull(admissionOrder, "admissionOrder is null");
    }

    /**
     * Creates settings with the default order of admission.
     *
     * @param vm the VM that the process runs on
     * @param failureDomain the failure domain of the VM
     * @param clientAddress the address that accepts client connections
     * @param readinessAddress the address that serves readiness probes
     * @param metricsAddress the address that serves metrics
     * @param storeAddress the address of the metadata store
     * @param promotionAddress the address of the service that promotes instances
     * @param fencingEnforced whether a promotion ends the leadership of the former primary at once
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
                AdmissionOrder.DEADLINE);
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
                                admissionOrder);
        return ini.build(settings);
    }
}
