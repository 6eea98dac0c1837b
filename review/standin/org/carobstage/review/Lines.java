package org.carobstage.review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A connection of the wire protocol: messages are terminated by CR LF and by nothing else. */
final class Lines implements Closeable {
    private final Socket socket;
    private final InputStream in;

    Lines(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        this.in = new BufferedInputStream(socket.getInputStream());
    }

    /** Returns the next message, or null at the end of the stream. */
    String read() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int previous = -1;
        for (int b = in.read(); b >= 0; b = in.read()) {
            line.write(b);
            if (previous == '\r' && b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.substring(0, text.length() - 2);
            }
            previous = b;
        }
        return null;
    }

    synchronized void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    void setTimeout(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
