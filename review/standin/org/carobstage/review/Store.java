package org.carobstage.review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store, as PROTOCOL.md describes it, and the platform's call for a failover. */
final class Store {
    private final ObjectMapper json = new ObjectMapper();
    private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private final Failover failover;
    private final Record record;
    private long revision = 1;
    private long lastLease;
    private String outageAfterKey = "";
    private long outageMillis;
    private long downUntil;

    Store(Failover failover, Record record) {
        this.failover = failover;
        this.record = record;
    }

    /**
     * Lets the store be down for a time, once it has answered the next write of a key with the
     * given prefix. Leases go on to run out meanwhile.
     */
    synchronized void failAfterWrite(String prefix, long millis) {
        outageAfterKey = prefix;
        outageMillis = millis;
    }

    int start() throws IOException {
        HttpServer server =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/", this::serve);
        server.start();
        Thread expiry = new Thread(this::expireLeases);
        expiry.setDaemon(true);
        expiry.start();
        return server.getAddress().getPort();
    }

    synchronized void put(String key, Object body) {
        try {
            put(key, Base64.getEncoder().encodeToString(json.writeValueAsBytes(body)), 0);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            String path = exchange.getRequestURI().getPath();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            JsonNode body = json.readTree(bytes.length == 0 ? new byte[] {'{', '}'} : bytes);
            Object[] reply = isDown() ? null : execute(exchange, path, query, body);
            if (reply == null || path.equals("/api/kv-watch") && isDown()) {
                // The connection is closed without an answer.
                return;
            }
            byte[] answer = json.writeValueAsBytes(reply[1]);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders((int) reply[0], answer.length);
            exchange.getResponseBody().write(answer);
            exchange.getResponseBody().close();
            beginOutageAfter(body);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean isDown() {
        return now() < downUntil;
    }

    private synchronized void beginOutageAfter(JsonNode body) {
        boolean due = false;
        for (JsonNode write : body.path("writes")) {
            due |= !outageAfterKey.isEmpty()
                    && write.path("key").asText().startsWith(outageAfterKey);
        }
        if (due) {
            record.add("store: down for " + outageMillis + " ms, leases run out");
            outageAfterKey = "";
            downUntil = now() + outageMillis;
            notifyAll();
        }
    }

    private synchronized Object[] execute(
            HttpExchange exchange, String path, Map<String, String> query, JsonNode body)
            throws InterruptedException {
        if (path.equals("/api/kv-range")) {
            String prefix = query.getOrDefault("prefix", "");
            String after = query.getOrDefault("after", "");
            List<Map<String, Object>> page =
                    items.values().stream()
                            .filter(i -> ((String) i.get("key")).startsWith(prefix))
                            .filter(i -> ((String) i.get("key")).compareTo(after) > 0)
                            .toList();
            return reply(
                    200, Map.of("items", page, "has_more", false, "store_revision", revision));
        } else if (path.equals("/api/kv-watch")) {
            return watch(
                    query.getOrDefault("prefix", ""),
                    Long.parseLong(query.get("after")),
                    Long.parseLong(query.get("wait_ms")));
        } else if (path.equals("/api/kv-txn")) {
            return transact(body);
        } else if (path.equals("/api/kv-lease")) {
            long ttl = body.path("ttl_ms").asLong();
            leases.put(++lastLease, new long[] {ttl, now() + ttl});
            return reply(200, Map.of("lease", lastLease, "ttl_ms", ttl));
        } else if (path.startsWith("/api/kv-keep/")) {
            long[] lease = leases.get(idIn(path));
            if (lease == null) {
                return reply(404, Map.of());
            }
            lease[1] = now() + lease[0];
            return reply(200, Map.of());
        } else if (path.startsWith("/api/kv-lease-end/")) {
            return reply(endLease(idIn(path)) ? 200 : 404, Map.of());
        } else if (path.equals("/failover")) {
            int status =
                    failover.order(
                            body.path("backend").asText(),
                            body.path("id").asText(),
                            exchange.getRequestHeaders().getFirst("Duty-Holder"),
                            Long.parseLong(exchange.getRequestHeaders().getFirst("Fencing-Token")));
            return reply(status, Map.of());
        }
        return reply(404, Map.of());
    }

    private Object[] watch(String prefix, long after, long waitMillis)
            throws InterruptedException {
        long deadline = now() + waitMillis;
        while (true) {
            List<Map<String, Object>> events =
                    history.stream()
                            .filter(e -> (long) e.get("revision") > after)
                            .filter(e -> ((String) e.get("key")).startsWith(prefix))
                            .toList();
            long left = deadline - now();
            if (!events.isEmpty() || left <= 0 || isDown()) {
                return reply(200, Map.of("events", events, "store_revision", revision));
            }
            wait(left);
        }
    }

    private Object[] transact(JsonNode body) {
        List<Object> current = new ArrayList<>();
        boolean met = true;
        for (JsonNode expected : body.path("expected_rev")) {
            Map<String, Object> item = items.get(expected.path("key").asText());
            met &= (item == null ? 0 : (long) item.get("revision"))
                    == expected.path("revision").asLong();
            if (item != null) {
                current.add(item);
            }
        }
        if (!met) {
            return reply(412, Map.of("items", current));
        }
        for (JsonNode write : body.path("writes")) {
            long lease = write.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return reply(404, Map.of());
            }
        }
        body.path("writes")
                .forEach(
                        w ->
                                put(
                                        w.path("key").asText(),
                                        w.path("value").asText(),
                                        w.path("lease").asLong()));
        body.path("deletes").forEach(k -> delete(k.asText()));
        return reply(200, Map.of("revision", revision));
    }

    private void put(String key, String base64, long lease) {
        Map<String, Object> former = items.get(key);
        Map<String, Object> item = new LinkedHashMap<>();
        item.put("key", key);
        item.put("value", base64);
        item.put("revision", ++revision);
        item.put("created", former == null ? revision : former.get("created"));
        item.put("lease", lease);
        items.put(key, item);
        history.add(item);
        notifyAll();
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            history.add(Map.of("key", key, "revision", ++revision, "deleted", true));
            notifyAll();
        }
    }

    private boolean endLease(long id) {
        if (leases.remove(id) == null) {
            return false;
        }
        items.values().stream()
                .filter(i -> (long) i.get("lease") == id)
                .map(i -> (String) i.get("key"))
                .toList()
                .forEach(this::delete);
        return true;
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                leases.entrySet().stream()
                        .filter(e -> e.getValue()[1] <= now())
                        .map(Map.Entry::getKey)
                        .toList()
                        .forEach(this::endLease);
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static Object[] reply(int status, Object body) {
        return new Object[] {status, body};
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private static long idIn(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> result = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            String[] parts = pair.split("=", 2);
            if (parts.length == 2) {
                result.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        return result;
    }

    /** Receives the orders to promote an instance; returns the HTTP status. */
    interface Failover {
        int order(String service, String instance, String holder, long fencingToken);
    }
}
