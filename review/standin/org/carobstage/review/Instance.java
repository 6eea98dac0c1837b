package org.carobstage.review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;

/**
 * An instance of a database: the primary or a replica, which has every commit at once. A READ of an
 * item {@code work-N} takes N ms.
 */
final class Instance {
    private static final long WORK_MILLIS = 5;

    private final String service;
    private final String id;
    private final boolean primary;
    private final Map<String, String> data;
    private final long[] commits;
    private final Record record;
    private final Semaphore slots = new Semaphore(3, true);
    private final ServerSocket listener;
    private long pausedTerm;
    private long signatures;
    private volatile long darkUntilNanos = System.nanoTime();

    Instance(
            String service,
            String id,
            boolean primary,
            Map<String, String> data,
            long[] commits,
            Record record)
            throws IOException {
        this.service = service;
        this.id = id;
        this.primary = primary;
        this.data = data;
        this.commits = commits;
        this.record = record;
        this.listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::accept);
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Lets the instance answer nothing for a time; it then goes on with what it was sent. */
    void goDark(long millis) {
        record.add("instance " + id + ": dark for " + millis + " ms");
        darkUntilNanos = System.nanoTime() + millis * 1_000_000;
    }

    private void awaitLight() throws InterruptedException {
        long left = darkUntilNanos - System.nanoTime();
        if (left > 0) {
            Thread.sleep(left / 1_000_000 + 1);
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                Thread thread = new Thread(() -> new Connection().run(socket));
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private String position() {
        synchronized (data) {
            return "1." + commits[0];
        }
    }

    private final class Connection {
        private final Map<String, String> prepared = new HashMap<>();
        private final List<String[]> writes = new ArrayList<>();
        private boolean open;

        private void run(Socket socket) {
            try (Lines lines = new Lines(socket)) {
                String[] startup = String.valueOf(lines.read()).split(" ");
                awaitLight();
                if (startup.length < 3
                        || !startup[1].equals(service)
                        || startup.length > 3 && !startup[3].equals(id)) {
                    lines.write("ERROR MOVED " + id + "\r\n");
                    return;
                }
                lines.write("READY I " + position() + "\r\n");
                for (String line = lines.read(); line != null; line = lines.read()) {
                    String[] fields = line.split(" ", 3);
                    if (!fields[0].equals("QUERY") || fields.length < 3) {
                        return;
                    }
                    awaitLight();
                    String answer = query(fields[1], fields[2]);
                    awaitLight();
                    lines.write(answer + "READY " + (open ? "T " : "I ") + position() + "\r\n");
                }
            } catch (IOException e) {
                record.add("instance " + id + ": connection ended, " + e.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private String query(String request, String text) throws InterruptedException {
            String[] words = text.split(" ", 3);
            switch (words[0]) {
                case "MINLSN":
                    return query(request, words[2]);
                case "BEGIN":
                    if (!primary && words.length == 1) {
                        return "ERROR READONLY " + id + "\r\n";
                    }
                    open = true;
                    writes.clear();
                    return "COMPLETE -\r\n";
                case "ROLLBACK":
                    open = false;
                    writes.clear();
                    return "COMPLETE -\r\n";
                case "SET", "DEALLOC":
                    return "COMPLETE -\r\n";
                case "RESET":
                    prepared.clear();
                    return "COMPLETE -\r\n";
                case "PREPARE":
                    prepared.put(words[1], words[2]);
                    return "COMPLETE -\r\n";
                case "PAUSE":
                    pausedTerm = primary ? 0 : Long.parseLong(words[1]);
                    return status();
                case "RESUME":
                    pausedTerm = 0;
                    return status();
                case "STATUS", "STEPDOWN":
                    return status();
                default:
                    return run(request, text, words);
            }
        }

        private String status() {
            String role = primary ? "primary" : "replica";
            return "DATAROW " + role + " 1 " + position() + " " + pausedTerm + " 0 0 1\r\n"
                    + "COMPLETE -\r\n";
        }

        /** Runs a statement in a slot and records it. */
        private String run(String request, String text, String[] words)
                throws InterruptedException {
            String shape = null;
            if (words[0].equals("EXECUTE")) {
                shape = prepared.get(words[1]);
                if (shape == null) {
                    return "ERROR NOSTMT " + id + "\r\n";
                }
            }
            boolean write = words[0].equals("WRITE") || shape != null && shape.startsWith("WRITE");
            boolean read = words[0].equals("READ") || shape != null && !write;
            boolean commit = words[0].equals("COMMIT");
            if (!write && !read && !commit) {
                return "ERROR MALFORMED " + id + "\r\n";
            }
            if (write && !primary) {
                return "ERROR READONLY " + id + "\r\n";
            }
            String[] arguments = (shape == null ? text.substring(words[0].length()).trim() : words[2])
                    .split(" ", 2);
            record.add(
                    "instance " + id + ": runs id=" + request + " text=[" + shorten(text) + "]"
                            + (shape == null ? "" : " shape=[" + shape + "]"));
            slots.acquire();
            try {
                boolean long_ = read && arguments[0].startsWith("work-");
                Thread.sleep(long_ ? Long.parseLong(arguments[0].substring(5)) : WORK_MILLIS);
            } finally {
                slots.release();
            }
            String rows = "";
            synchronized (data) {
                if (read) {
                    rows = "DATAROW " + data.getOrDefault(arguments[0], "none") + "\r\n";
                } else if (write && open) {
                    writes.add(arguments);
                } else if (write) {
                    apply(arguments);
                    commits[0]++;
                } else {
                    writes.forEach(this::apply);
                    commits[0] += writes.isEmpty() ? 0 : 1;
                    open = false;
                    writes.clear();
                }
            }
            record.add("instance " + id + ": ran  id=" + request);
            return rows + "COMPLETE " + id + "." + ++signatures + "\r\n";
        }

        private String shorten(String text) {
            return text.length() > 200 ? text.substring(0, 200) + "..." : text;
        }

        private void apply(String[] write) {
            data.put(write[0], write.length > 1 ? write[1] : "");
        }
    }
}
