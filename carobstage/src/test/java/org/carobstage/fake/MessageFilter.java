package org.carobstage.fake;

import java.time.Duration;

/** Decides what happens to each message of a process to the store, an instance or the platform. */
@FunctionalInterface
public interface MessageFilter {
    /** Delivers and answers every message. */
    MessageFilter NONE = message -> Fate.DELIVERED;

    /** Returns the fate of a message, which is named by its kind and its object. */
    Fate fateOf(String message);

    /**
     * The fate of a message.
     *
     * @param executed whether it is executed
     * @param delay how much later than usual
     * @param answered whether the sender receives the answer
     * @param transit how much later than usual a promotion request arrives
     */
    record Fate(boolean executed, Duration delay, boolean answered, Duration transit) {
        public static final Fate DELIVERED = new Fate(true, Duration.ZERO, true, Duration.ZERO);
        public static final Fate ANSWER_LOST = new Fate(true, Duration.ZERO, false, Duration.ZERO);
        public static final Fate LOST = new Fate(false, Duration.ZERO, false, Duration.ZERO);

        /** Returns whether the message arrives, even if it is executed later. */
        boolean isReceived() {
            return executed;
        }

        /** Returns the fate of a message that is executed late; its answer does not arrive. */
        public static Fate late(Duration delay) {
            return new Fate(true, delay, false, Duration.ZERO);
        }

        /** Returns the fate of a promotion request that is held up on its way. */
        public static Fate heldUp(Duration transit) {
            return new Fate(true, Duration.ZERO, false, transit);
        }
    }
}
