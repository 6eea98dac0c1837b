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

/** Holds many caller connections open at one entry VM and counts those that still answer. */
final class IdleConnectionsBenchmark {
    private static final int TARGET = 4_500;
    private static final int ANSWER_BYTES = 4_096;
    private static final byte[] REQUEST =
            "GET /v1/idle HTTP/1.1\r\nhost: entry\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private IdleConnectionsBenchmark() {}

    static List<BenchmarkResult> measure(Address entry, Duration hold) {
        List<SocketChannel> open = new ArrayList<>();
        try {
            for (int i = 0; i < TARGET; i++) {
                SocketChannel channel = SocketChannel.open(entry.toSocketAddress());
                open.add(channel);
                answers(channel);
            }
            System.out.println("held " + open.size());
            Thread.sleep(hold.toMillis());
            long alive = open.stream().filter(IdleConnectionsBenchmark::answers).count();
            return List.of(
                    BenchmarkResult.atLeast("idle_connections", alive, "connections", TARGET));
        } catch (IOException e) {
            throw new UncheckedIOException("connection " + open.size() + " failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return List.of();
        } finally {
            open.forEach(IdleConnectionsBenchmark::close);
        }
    }

    private static boolean answers(SocketChannel channel) {
        try {
            channel.write(ByteBuffer.wrap(REQUEST));
            return channel.read(ByteBuffer.allocate(ANSWER_BYTES)) > 0;
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
