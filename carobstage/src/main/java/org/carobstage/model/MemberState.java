package org.carobstage.model;

/** What is known of a member; of two reports with the same incarnation the later state wins. */
public enum MemberState {
    /** It answers. */
    ALIVE,
    /** It answers and is about to stop: it gets no new work. */
    LEAVING,
    /** It did not answer and may still refute this. */
    SUSPECT,
    /** It did not refute the suspicion in time, or has stopped. */
    DEAD;

    /**
     * Tells whether the member may still hold resources and answer.
     *
     * @return true unless it is dead
     */
    public boolean isLive() {
        return this != DEAD;
    }
}
