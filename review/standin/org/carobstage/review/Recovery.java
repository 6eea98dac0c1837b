package org.carobstage.review;

import java.io.IOException;

/**
 * Clients that file petitions: each opens a session for one write. Counts what is served before a
 * time and after another one. Arguments: the port, the file of the record, and the
 * seconds after the start of the script until which and from which it counts, and at which it ends.
 */
public final class Recovery {
    private Recovery() {}

    public static void main(String[] args) throws Exception {
        int port = Integer.parseInt(args[0]);
        Record record = new Record(args[1]);
        long before = Long.parseLong(args[2]) * 1_000;
        long after = Long.parseLong(args[3]) * 1_000;
        long end = Long.parseLong(args[4]) * 1_000;
        int[] sent = new int[2];
        int[] served = new int[2];
        for (int i = 0; elapsed() < end; i++) {
            long startMillis = elapsed();
            boolean success = false;
            try (Session session = new Session("filing", port, "filings", record)) {
                session.setTimeout(3_000);
                success = session.query("r" + i, "WRITE k" + i + " data").startsWith("COMPLETE");
            } catch (IOException e) {
                record.add("client filing: no session, " + e.getMessage());
            }
            int part = startMillis < before ? 0 : startMillis >= after ? 1 : -1;
            if (part >= 0) {
                sent[part]++;
                served[part] += success ? 1 : 0;
            }
            Thread.sleep(100);
        }
        record.add("check: served " + served[0] + " of " + sent[0] + " requests before the faults, "
                + served[1] + " of " + sent[1] + " sent after the time for recovery");
        boolean usable = served[0] * 4 >= sent[0] && sent[0] > 0 && sent[1] > 0;
        System.exit(!usable ? 2 : served[1] * 4 < sent[1] ? 1 : 0);
    }

    private static long elapsed() {
        return System.currentTimeMillis() - Long.parseLong(System.getenv("REVIEW_START"));
    }
}
