package org.carobstage.review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients that write without a pause, over all processes. Arguments: the file of the record, the
 * seconds to run, and the ports of the processes. The exit status tells whether a promoted log
 * lacked an acknowledged commit.
 */
public final class Writers {
    private static final int CLIENTS = 30;

    private Writers() {}

    public static void main(String[] args) throws Exception {
        Record record = new Record(args[0]);
        long end = System.currentTimeMillis() + Long.parseLong(args[1]) * 1_000;
        Set<String> told = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            int port = Integer.parseInt(args[2 + i % (args.length - 2)]);
            Thread thread = new Thread(() -> write(client, port, record, end, told));
            thread.setDaemon(true);
            thread.start();
        }
        Thread.sleep(Math.max(0, end - System.currentTimeMillis()) + 1_000);
        List<String> lines = Files.readAllLines(Path.of(args[0]), StandardCharsets.ISO_8859_1);
        long promotions = lines.stream().filter(l -> l.contains("is promoted")).count();
        List<String> lost =
                lines.stream()
                        .filter(l -> l.contains("lost commit id="))
                        .map(l -> l.substring(l.indexOf("id=") + 3))
                        .toList();
        record.add("check: " + told.size() + " writes answered with success, " + promotions
                + " promotions, " + lost.size() + " acknowledged commits lost, of which "
                + lost.stream().filter(told::contains).count() + " a client was told of");
        System.exit(!lost.isEmpty() ? 1 : told.size() > 0 ? 0 : 2);
    }

    private static void write(
            int client, int port, Record record, long end, Set<String> told) {
        for (int i = 0; System.currentTimeMillis() < end; ) {
            try (Session session = new Session("w" + client, port, "filings", record)) {
                session.quietAll();
                while (System.currentTimeMillis() < end) {
                    String id = "c" + client + "n" + i++;
                    String answer = session.query(id, "WRITE k" + client + " " + i);
                    if (answer.startsWith("COMPLETE")) {
                        told.add(id);
                    } else if (!answer.contains("READY")) {
                        break;
                    }
                    Thread.sleep(answer.startsWith("COMPLETE") ? 5 : 50);
                }
            } catch (IOException | InterruptedException e) {
                i++;
            }
        }
    }
}
