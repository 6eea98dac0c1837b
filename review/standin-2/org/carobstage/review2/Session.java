package org.carobstage.review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's session: one request at a time, as the wire page says. */
final class Session implements Closeable {
    private final Socket socket = new Socket();
    private final BufferedInputStream in;
    private int rows;
    private long rowBytes;

    /** Opens a session; the READY has to arrive within 2 s. */
    Session(int port, String database, String who) throws IOException {
        try {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
            socket.setSoTimeout(2_000);
            in = new BufferedInputStream(socket.getInputStream());
            send("STARTUP " + database + " " + who);
            String line = readLine();
            if (!line.startsWith("READY")) {
                throw new Refused(line);
            }
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Sends a query and returns its COMPLETE or ERROR line. */
    String query(String id, String text, int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        send("QUERY " + id + " " + text);
        String result = "";
        rows = 0;
        rowBytes = 0;
        for (String line = readLine(); ; line = readLine()) {
            if (line.startsWith("COMPLETE") || line.startsWith("ERROR")) {
                result = line;
            } else if (line.startsWith("READY")) {
                return result;
            } else if (line.startsWith("DATAROW ")) {
                rows++;
            }
        }
    }

    /** Returns how many rows the last query has returned. */
    int rows() {
        return rows;
    }

    /** Returns how many bytes the last query has returned. */
    long rowBytes() {
        return rowBytes;
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // The connection is gone either way.
        }
    }

    private void send(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("connection closed");
            }
            line.write(b);
            rowBytes++;
        }
        return line.toString(StandardCharsets.ISO_8859_1).trim();
    }

    /** The session was refused with an ERROR. */
    static final class Refused extends IOException {
        private static final long serialVersionUID = 1;

        Refused(String line) {
            super(line);
        }
    }
}
