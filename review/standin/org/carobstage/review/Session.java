package org.carobstage.review;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** A client's session. */
final class Session implements Closeable {
    private final String name;
    private final Lines lines;
    private final Record record;
    private boolean quiet;
    private boolean silent;

    Session(String name, int port, String database, Record record) throws IOException {
        this.name = name;
        this.record = record;
        this.lines = new Lines(new Socket(InetAddress.getLoopbackAddress(), port));
        lines.setTimeout(2_000);
        lines.write("STARTUP " + database + " " + name + "\r\n");
        String ready = lines.read();
        if (ready == null || !ready.startsWith("READY")) {
            throw new IOException("session not opened: " + ready);
        }
        lines.setTimeout(10_000);
    }

    /**
     * Sends a statement and returns its answer as one line: the rows, COMPLETE or ERROR, READY; or
     * what came before the connection ended, followed by "closed", "reset" or "no answer".
     */
    String query(String id, String text) throws IOException {
        if (!quiet) {
            record.add("client " + name + ": sends id=" + id + " text=[" + text + "]");
        }
        lines.write("QUERY " + id + " " + text + "\r\n");
        String answer = readAnswer();
        if (!silent) {
            record.add("client " + name + ": gets  id=" + id + " answer=[" + answer + "]");
        }
        return answer;
    }

    /** Returns the next answer, or what ended the connection. */
    String readAnswer() {
        StringBuilder answer = new StringBuilder();
        try {
            while (true) {
                String line = lines.read();
                if (line == null) {
                    return answer + "closed";
                }
                answer.append(line).append(line.startsWith("READY") ? "" : " / ");
                if (line.startsWith("READY")) {
                    return answer.toString();
                }
            }
        } catch (SocketTimeoutException e) {
            return answer + "no answer";
        } catch (IOException e) {
            return answer + "reset";
        }
    }

    /** Records no more statements, only their answers. */
    void quiet() {
        quiet = true;
    }

    /** Records nothing more. */
    void quietAll() {
        quiet = true;
        silent = true;
    }

    void setTimeout(int millis) throws IOException {
        lines.setTimeout(millis);
    }

    @Override
    public void close() throws IOException {
        lines.close();
    }
}
