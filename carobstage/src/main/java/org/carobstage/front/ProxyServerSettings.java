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

/**
 * The settings of a process that serves client sessions.
 *
 * @param vm the VM
 * @param domain its failure domain
 * @param clients where clients connect
 * @param readiness where the platform asks for readiness
 * @param metrics where metrics are served
 * @param store the address of the metadata store
 * @param orders the address that takes orders to promote an instance
 * @param stopLimit how long a stop may take
 */
public record ProxyServerSettings(
        VmId vm,
        FailureDomain failureDomain,
        Address clientAddress,
        Address readinessAddress,
        Address metricsAddress,
        Address storeAddress,
        Address promotionAddress,
        Duration shutdownTimeout) {
    private static final Duration MAX_STOP = Duration.ofMinutes(10);

    /** Checks the settings. */
    public ProxyServerSettings {
        requireNonNull(vm, "vm is null");
        requireNonNull(failureDomain, "domain is null");
        requireNonNull(clientAddress, "clients is null");
        requireNonNull(readinessAddress, "readiness is null");
        requireNonNull(metricsAddress, "metrics is null");
        requireNonNull(storeAddress, "store is null");
        requireNonNull(promotionAddress, "orders is null");
        requireNonNull(shutdownTimeout, "stopLimit is null");
    }

    /**
     * Reads settings.
     *
     * @param file the INI file
     * @return the settings
     * @throws CodedException if the file can't be read or has faults; it names all of them
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
     * Checks settings.
     *
     * @param source the name of the file, for faults
     * @param text the INI text
     * @return the settings or all faults
     */
    public static ValidationResult<ProxyServerSettings> validate(String source, String text) {
        IniReader ini = IniReader.of(source, text);
        Section vm = ini.section("vm");
        VmId id = vm.required("id", VmId::of);
        FailureDomain domain = vm.required("domain", FailureDomain::of);
        Section front = ini.section("front");
        Address clients = front.required("listen", Address::parse);
        Address readiness = front.required("readiness-listen", Address::parse);
        Address metrics = front.required("metrics-listen", Address::parse);
        Section platform = ini.section("platform");
        Address store = platform.required("store", Address::parse);
        Address orders = platform.required("orders", Address::parse);
        Duration stop =
                ini.section("stop")
                        .required("limit", ValueParsers.duration(Duration.ZERO, MAX_STOP));
        Supplier<ProxyServerSettings> whole =
                () ->
                        new ProxyServerSettings(
                                id, domain, clients, readiness, metrics, store, orders, stop);
        return ini.build(whole);
    }
}
