package org.carobstage.testbed.load;

import java.time.Duration;
import java.util.List;
import java.util.Random;

/** The kinds of requests of a team and how often they come. */
public enum Workload {
    /** Drafts, lists and filings, with a rush of filings in the middle third. */
    AGRESTE(
            "familia-forms",
            2.0,
            List.of(
                    RequestKind.write("draft-save", false, 25, 15),
                    RequestKind.write("filing", true, 5, 45),
                    RequestKind.read("draft-list", Duration.ofSeconds(30), 60),
                    RequestKind.read("latest-entry", Duration.ZERO, 10))),
    /** Care history, reminders, care advice and bookings at an even rate. */
    LUZON(
            "aftercare",
            1.0,
            List.of(
                    RequestKind.read("care-history", Duration.ofSeconds(60), 65),
                    RequestKind.write("reminder", false, 20, 20),
                    RequestKind.read("care-advice", Duration.ZERO, 5),
                    RequestKind.write("booking", true, 10, 10))),
    /** Only lists that may be old. */
    SHORT_READS(
            "familia-forms",
            1.0,
            List.of(RequestKind.read("draft-list", Duration.ofSeconds(30), 1))),
    /** Only writes. */
    WRITES("familia-forms", 1.0, List.of(RequestKind.write("draft-save", false, 1, 1)));

    private static final double RUSH_START = 1.0 / 3;
    private static final double RUSH_END = 2.0 / 3;

    private final String service;
    private final double rushFactor;
    private final List<RequestKind> kinds;

    Workload(String service, double rushFactor, List<RequestKind> kinds) {
        this.service = service;
        this.rushFactor = rushFactor;
        this.kinds = kinds;
    }

    /**
     * Returns the service of the team.
     *
     * @return the name in the team's document
     */
    public String service() {
        return service;
    }

    /**
     * Returns by how much the rate is multiplied at a moment of the run.
     *
     * @param progress the part of the run that is over, from 0 to 1
     * @return the factor
     */
    public double rateMultiplier(double progress) {
        return isRush(progress) ? rushFactor : 1.0;
    }

    /**
     * Draws a kind of request.
     *
     * @param random the source of randomness
     * @param progress the part of the run that is over, from 0 to 1
     * @return the kind
     */
    public RequestKind sampleRequestKind(Random random, double progress) {
        boolean rush = isRush(progress);
        double total = kinds.stream().mapToDouble(k -> k.weight(rush)).sum();
        double left = random.nextDouble() * total;
        for (RequestKind kind : kinds) {
            left -= kind.weight(rush);
            if (left < 0) {
                return kind;
            }
        }
        return kinds.get(kinds.size() - 1);
    }

    private static boolean isRush(double progress) {
        return progress >= RUSH_START && progress < RUSH_END;
    }
}
