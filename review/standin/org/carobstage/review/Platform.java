package org.carobstage.review;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs the store and the three instances of one service. Arguments: the file of the record, the
 * seconds to run, and, if the primary shall go dark, the seconds until then, the milliseconds that
 * it is dark, and those that the store is down after the first vote. Prints the address of the
 * store.
 */
public final class Platform {
    private static final String SERVICE = "forms";

    private Platform() {}

    public static void main(String[] args) throws Exception {
        Record record = new Record(args[0]);
        Store store =
                new Store(
                        (service, instance, holder, token) -> {
                            record.add("platform: failover to " + instance + " by " + holder);
                            return 200;
                        },
                        record);
        int port = store.start();
        Map<String, String> data = new HashMap<>();
        long[] commits = {1};
        for (String id : List.of("i-a", "i-b", "i-c")) {
            boolean primary = id.equals("i-a");
            Instance instance = new Instance(SERVICE, id, primary, data, commits, record);
            beat(store, id, instance.port(), primary);
            if (primary && args.length > 2) {
                long delay = Long.parseLong(args[2]) * 1_000;
                new Thread(() -> disrupt(store, instance, delay, args[3], args[4])).start();
            }
        }
        configure(store, 1);
        System.out.println("store 127.0.0.1:" + port);
        Thread.sleep(Long.parseLong(args[1]) * 1_000);
        System.exit(0);
    }

    /** Writes a change of the configuration each 80 ms for 2 s; the primary fails meanwhile. */
    private static void disrupt(
            Store store, Instance primary, long delay, String dark, String down) {
        try {
            Thread.sleep(delay);
            store.failAfterWrite("carobstage/votes/", Long.parseLong(down));
            for (int i = 0; i < 25; i++) {
                if (i == 12) {
                    primary.goDark(Long.parseLong(dark));
                }
                configure(store, 2 + i);
                Thread.sleep(80);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void configure(Store store, int version) {
        int timeout = 800 + version;
        store.put(
                "op/config",
                Map.of(
                        "version", version,
                        "routes",
                                List.of(
                                        route("filings", "primary", 0, timeout, 150),
                                        route("status", "bounded_staleness", 1_500, 2_000, 500),
                                        route("drafts", "read_your_writes", 2_500, timeout, 250)),
                        "services", List.of(Map.of("name", SERVICE, "max_conns", 22)),
                        "limits", Map.of("tx_idle_ms", 3_000)));
    }

    private static Map<String, Object> route(
            String database, String type, int staleness, int timeout, int target) {
        return Map.of(
                "database", database,
                "backend", SERVICE,
                "type", type,
                "max_staleness_ms", staleness,
                "timeout_ms", timeout,
                "target_latency_ms", target,
                "priority", 1);
    }

    private static void beat(Store store, String id, int port, boolean primary) {
        Map<String, Object> entry = new HashMap<>();
        entry.put("backend", SERVICE);
        entry.put("address", "127.0.0.1:" + port);
        entry.put("zone", "domain-a");
        entry.put("version", "v1");
        entry.put("capacity", 3);
        entry.put("state", "ready");
        entry.put("warmup_ms", 0);
        entry.put("db_role", primary ? "primary" : "replica");
        entry.put("born", System.currentTimeMillis());
        entry.put("seq", 1);
        store.put("servers/" + id, entry);
    }
}
