package org.carobstage.event;

import static java.util.Objects.requireNonNull;

import java.io.PrintStream;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import org.carobstage.runtime.WorkerThread;

/** Writes log lines on a separate thread; drops and counts lines while its queue is full. */
final class AsyncLineHandler extends Handler {
    /** Holds the lines of some seconds at the highest rate of the event log. */
    private static final int QUEUE_CAPACITY = 2_048;

    private final PrintStream out;
    private final WorkerThread<String> writer;
    private final AtomicLong dropped = new AtomicLong();

    AsyncLineHandler(PrintStream out) {
        this.out = requireNonNull(out, "out is null");
        this.writer = WorkerThread.of("log-writer", QUEUE_CAPACITY, this::write);
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
        long droppedLines = dropped.getAndSet(0);
        if (droppedLines > 0) {
            out.print(
                    "{\"level\":\"WARNING\",\"detail\":\"lines dropped: " + droppedLines + "\"}\n");
        }
        out.print(line);
        out.flush();
    }
}
