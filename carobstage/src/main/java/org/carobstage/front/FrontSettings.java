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
import org.carobstage.settings.Checked;
import org.carobstage.settings.CheckedIni;
import org.carobstage.settings.CheckedIni.Section;
import org.carobstage.settings.Values;

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
public record FrontSettings(
        VmId vm,
        FailureDomain domain,
        Address clients,
        Address readiness,
        Address metrics,
        Address store,
        Address orders,
        Duration stopLimit) {
    private static final Duration MAX_STOP = Duration.ofMinutes(10);

    /** Checks the settings. */
    public FrontSettings {
        requireNonNull(vm, "vm is null");
        requireNonNull(domain, "domain is null");
        requireNonNull(clients, "clients is null");
        requireNonNull(readiness, "readiness is null");
        requireNonNull(metrics, "metrics is null");
        requireNonNull(store, "store is null");
        requireNonNull(orders, "orders is null");
        requireNonNull(stopLimit, "stopLimit is null");
    }

    /**
     * Reads settings.
     *
     * @param file the INI file
     * @return the settings
     * @throws CodedException if the file can't be read or has faults; it names all of them
     */
    public static FrontSettings read(Path file) {
        requireNonNull(file, "file is null");
        try {
            return check(file.toString(), Files.readString(file)).orThrow(ErrorCode.BAD_SETTINGS);
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
    public static Checked<FrontSettings> check(String source, String text) {
        CheckedIni ini = CheckedIni.of(source, text);
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
                ini.section("stop").required("limit", Values.duration(Duration.ZERO, MAX_STOP));
        Supplier<FrontSettings> whole =
                () ->
                        new FrontSettings(
                                id, domain, clients, readiness, metrics, store, orders, stop);
        return ini.result(whole);
    }
}
