package org.carobstage.event;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class AsyncLineHandlerTest {
    private static final int LINES_OVER_CAPACITY = 20_000;

    @Test
    @Timeout(10)
    void shouldDropAndCountLinesWithoutBlockingWhenOutputBlocks() throws InterruptedException {
        CountDownLatch released = new CountDownLatch(1);
        CountDownLatch dropsReported = new CountDownLatch(1);
        PrintStream out = new PrintStream(new BlockingStream(released, dropsReported), true);
        AsyncLineHandler handler = new AsyncLineHandler(out);
        handler.setFormatter(LineFormatter.of(LogFormat.JSON));

        for (int i = 0; i < LINES_OVER_CAPACITY; i++) {
            handler.publish(new LogRecord(Level.INFO, "line " + i));
        }
        released.countDown();

        assertThat(dropsReported.await(5, TimeUnit.SECONDS)).isTrue();
        handler.close();
    }

    /** Blocks writes until it is released; detects the line that reports the dropped lines. */
    private static final class BlockingStream extends OutputStream {
        private final CountDownLatch released;
        private final CountDownLatch dropsReported;
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();

        private BlockingStream(CountDownLatch released, CountDownLatch dropsReported) {
            this.released = released;
            this.dropsReported = dropsReported;
        }

        @Override
        public void write(int b) {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            written.write(bytes, offset, length);
            if (written.toString().contains("lines dropped")) {
                dropsReported.countDown();
            }
        }
    }
}
