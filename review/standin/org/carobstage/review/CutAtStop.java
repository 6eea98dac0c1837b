package org.carobstage.review;

/**
 * A client whose transaction goes on while the process stops, and one that opens a session for a
 * read that takes a while. Arguments: the port, the file of the record, 1 to send SIGTERM, the pid
 * of the process, the milliseconds between the signal and the read, and those that the read takes.
 */
public final class CutAtStop {
    private static volatile boolean done;

    private CutAtStop() {}

    public static void main(String[] args) throws Exception {
        int port = Integer.parseInt(args[0]);
        Record record = new Record(args[1]);
        long after = Long.parseLong(args[4]);
        Session transaction = new Session("tx", port, "filings", record);
        long startNanos = System.nanoTime();
        if (args[2].equals("1")) {
            ProcessHandle.of(Long.parseLong(args[3])).orElseThrow().destroy();
            record.add("SIGTERM sent");
        }
        Thread thread = new Thread(() -> goOn(transaction, startNanos));
        thread.setDaemon(true);
        thread.start();
        sleepUntil(startNanos, after);
        try (Session client = new Session("one", port, "status", record)) {
            long sentMillis = elapsed(startNanos);
            String answer = client.query("long", "READ work-" + args[5]);
            boolean complete = answer.contains("READY");
            record.add("check: sent " + sentMillis + " ms after SIGTERM, ended after "
                    + (elapsed(startNanos) - sentMillis) + " ms, complete answer: " + complete);
            done = true;
            System.exit(complete ? 0 : 1);
        } catch (java.io.IOException e) {
            record.add("check: the process took no session, " + e.getMessage());
            System.exit(0);
        }
    }

    /** Runs transactions of a few statements, with pauses of 0.3 s. */
    private static void goOn(Session session, long startNanos) {
        try {
            sleepUntil(startNanos, 1_500);
            session.query("t0", "BEGIN");
            for (int i = 1; !done && session.query("t" + i, "READ k").endsWith("READY T 1.1"); i++) {
                Thread.sleep(300);
            }
        } catch (java.io.IOException | InterruptedException e) {
            // The session has ended.
        }
    }

    private static void sleepUntil(long startNanos, long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - elapsed(startNanos)));
    }

    private static long elapsed(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }
}
