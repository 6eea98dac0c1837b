package org.carobstage.testbed.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.carobstage.model.Address;

/** Holds idle caller connections open at one entry VM and counts those that still respond. */
final class IdleConnectionsBenchmark {
    private static final int TARGET_CONNECTIONS = 4_500;
    private static final int RESPONSE_BUFFER_BYTES = 4_096;
    private static final byte[] REQUEST =
            "GET /v1/idle HTTP/1.1\r\nhost: entry\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private IdleConnectionsBenchmark() {}

    static List<BenchmarkResult> measure(Address entryVm, Duration holdTime) {
        List<SocketChannel> channels = new ArrayList<>();
        try {
            for (int i = 0; i < TARGET_CONNECTIONS; i++) {
                SocketChannel channel = SocketChannel.open(entryVm.toSocketAddress());
                channels.add(channel);
                respondsToRequest(channel);
            }
            System.out.println("held " + channels.size());
            Thread.sleep(holdTime.toMillis());
            long responsive =
                    channels.stream().filter(IdleConnectionsBenchmark::respondsToRequest).count();
            return List.of(
                    BenchmarkResult.atLeast(
                            "idle_connections", responsive, "connections", TARGET_CONNECTIONS));
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "opened " + channels.size() + " connections before an error", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return List.of();
        } finally {
            channels.forEach(IdleConnectionsBenchmark::close);
        }
    }

    private static boolean respondsToRequest(SocketChannel channel) {
        try {
            channel.write(ByteBuffer.wrap(REQUEST));
            return channel.read(ByteBuffer.allocate(RESPONSE_BUFFER_BYTES)) > 0;
        } catch (IOException e) {
            return false;
        }
    }

    private static void close(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
