package org.carobstage.review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Peers that send some reads of a large item ahead and, if so told, do not read the answers; beside
 * them an ordinary client that opens a session for each read of a small item. Arguments: the port,
 * the file of the record, 1 if the peers do not read, and the seconds that the peers stay.
 */
public final class SlowReaders {
    private static final int PEERS = 24;
    private static final int READS_AHEAD = 60;
    private static final int ITEM_BYTES = 1_000_000;

    /** The deadline of the sheet's requests of this kind. */
    private static final int DEADLINE_MILLIS = 1_000;

    private SlowReaders() {}

    public static void main(String[] args) throws Exception {
        int port = Integer.parseInt(args[0]);
        Record record = new Record(args[1]);
        boolean reading = !args[2].equals("1");
        int seconds = Integer.parseInt(args[3]);
        try (Session writer = new Session("writer", port, "filings", record)) {
            writer.query("w1", "WRITE k small");
            record.add("client writer: writes an item of " + ITEM_BYTES + " bytes");
            for (int i = 0; i < 10 && !write(writer); i++) {
                Thread.sleep(100);
            }
        }
        int before = serve(port, record, 5);
        if (before < 5) {
            record.add("check: only " + before + " of 5 reads were served before the peers came");
            System.exit(2);
        }
        List<Lines> peers = new ArrayList<>();
        for (int i = 0; i < PEERS; i++) {
            Lines peer = new Lines(new Socket(InetAddress.getLoopbackAddress(), port));
            peer.write("STARTUP status peer" + i + "\r\n");
            for (int j = 0; j < READS_AHEAD; j++) {
                peer.write("QUERY p" + i + "x" + j + " READ large\r\n");
            }
            peers.add(peer);
            if (reading) {
                Thread thread = new Thread(() -> readAll(peer));
                thread.setDaemon(true);
                thread.start();
            }
        }
        record.add(PEERS + " peers sent " + READS_AHEAD + " reads each; they read: " + reading);
        Thread.sleep(8_000);
        int requests = seconds / 2;
        int during = serve(port, record, requests);
        for (Lines peer : peers) {
            peer.close();
        }
        record.add("the peers have left");
        Thread.sleep(3_000);
        int after = serve(port, record, 5);
        record.add("check: served " + during + " of " + requests + " requests of the ordinary client"
                + " while the peers were there, " + after + " of 5 after they had left");
        System.exit(during == 0 ? 1 : 0);
    }

    private static boolean write(Session writer) throws IOException {
        writer.quiet();
        return writer.query("w2", "WRITE large " + "x".repeat(ITEM_BYTES)).startsWith("COMPLETE");
    }

    /** Sends requests, one each 2 s at most; returns how many were served. */
    private static int serve(int port, Record record, int requests) throws InterruptedException {
        int served = 0;
        for (int i = 0; i < requests; i++) {
            long startNanos = System.nanoTime();
            try (Session session = new Session("ordinary", port, "drafts", record)) {
                session.setTimeout(DEADLINE_MILLIS);
                served += session.query("o" + i, "READ k").startsWith("DATAROW") ? 1 : 0;
            } catch (IOException e) {
                record.add("client ordinary: no session, " + e.getMessage());
            }
            long left = 2_000 - (System.nanoTime() - startNanos) / 1_000_000;
            Thread.sleep(Math.max(0, requests > 5 ? left : 0));
        }
        return served;
    }

    private static void readAll(Lines peer) {
        try {
            while (peer.read() != null) {
                // Discards the answer.
            }
        } catch (IOException e) {
            // The peer has left.
        }
    }
}
