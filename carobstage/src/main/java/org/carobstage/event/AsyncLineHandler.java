package org.carobstage.event;

import static java.util.Objects.requireNonNull;

import java.io.PrintStream;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import org.carobstage.runtime.WorkerThread;

/** Writes log lines on a thread of its own; lines that find its ring full are dropped, counted. */
final class AsyncLineHandler extends Handler {
    /** Some seconds of lines at the highest rate of the decision log. */
    private static final int CAPACITY = 2_048;

    private final PrintStream out;
    private final WorkerThread<String> writer;
    private final AtomicLong dropped = new AtomicLong();

    AsyncLineHandler(PrintStream out) {
        this.out = requireNonNull(out, "out is null");
        this.writer = WorkerThread.of("log-writer", CAPACITY, this::write);
    }

    @Override
    public void publish(LogRecord entry) {
        if (isLoggable(entry) && !writer.offer(getFormatter().format(entry))) {
            dropped.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        out.flush();
    }

    @Override
    public void close() {
        writer.close();
    }

    private void write(String line) {
        long lost = dropped.getAndSet(0);
        if (lost > 0) {
            out.print("{\"level\":\"WARNING\",\"detail\":\"lines dropped: " + lost + "\"}\n");
        }
        out.print(line);
        out.flush();
    }
}
