package org.carobstage.review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A TCP proxy whose open connections can go silent for good, while new ones work. */
final class SilentProxy {
    private final ServerSocket server;
    private final int target;
    private final List<Link> links = new CopyOnWriteArrayList<>();

    SilentProxy(int target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Silences the open connections; returns how many there are. */
    int silence() {
        int count = 0;
        for (Link link : links) {
            if (!link.closed) {
                link.silent = true;
                count++;
            }
        }
        return count;
    }

    private void accept() {
        while (true) {
            try {
                Socket client = server.accept();
                Socket upstream = new Socket();
                upstream.connect(new InetSocketAddress("127.0.0.1", target), 1_000);
                client.setTcpNoDelay(true);
                upstream.setTcpNoDelay(true);
                Link link = new Link();
                links.add(link);
                daemon(() -> link.copy(client, upstream));
                daemon(() -> link.copy(upstream, client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private static final class Link {
        private volatile boolean silent;
        private volatile boolean closed;

        private void copy(Socket from, Socket to) {
            byte[] buffer = new byte[65_536];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    if (!silent) {
                        out.write(buffer, 0, n);
                    }
                }
            } catch (IOException e) {
                // Ends below, as at the end of the stream.
            }
            closed = true;
            if (!silent) {
                close(from);
                close(to);
            }
        }

        private static void close(Socket socket) {
            try {
                socket.close();
            } catch (IOException e) {
                // The socket is closed either way.
            }
        }
    }
}
