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
    private static final int MORE_THAN_FITS = 20_000;

    @Test
    @Timeout(10)
    void shouldNotBlockAndShouldCountLossesWhenOutputIsStuck() throws InterruptedException {
        CountDownLatch stuck = new CountDownLatch(1);
        CountDownLatch told = new CountDownLatch(1);
        PrintStream out = new PrintStream(new StuckStream(stuck, told), true);
        AsyncLineHandler handler = new AsyncLineHandler(out);
        handler.setFormatter(LineFormatter.of(LogFormat.JSON));

        for (int i = 0; i < MORE_THAN_FITS; i++) {
            handler.publish(new LogRecord(Level.INFO, "line " + i));
        }
        stuck.countDown();

        assertThat(told.await(5, TimeUnit.SECONDS)).isTrue();
        handler.close();
    }

    /** Blocks the first write until it is released; notices the line that counts the losses. */
    private static final class StuckStream extends OutputStream {
        private final CountDownLatch stuck;
        private final CountDownLatch told;
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();

        private StuckStream(CountDownLatch stuck, CountDownLatch told) {
            this.stuck = stuck;
            this.told = told;
        }

        @Override
        public void write(int b) {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            try {
                stuck.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            written.write(bytes, offset, length);
            if (written.toString().contains("lines dropped")) {
                told.countDown();
            }
        }
    }
}
