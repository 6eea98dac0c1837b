package org.carobstage.testbed.load;

import java.time.Duration;
import java.util.List;
import java.util.Random;

/** The request mix of a team's service. */
public enum Workload {
    /** Drafts, lists and filings, with a peak of filings in the middle third of the run. */
    AGRESTE(
            "familia-forms",
            2.0,
            List.of(
                    RequestKind.write("draft-save", false, 25, 15),
                    RequestKind.write("filing", true, 5, 45),
                    RequestKind.read("draft-list", Duration.ofSeconds(30), 60),
                    RequestKind.read("latest-entry", Duration.ZERO, 10))),
    /** Care history, reminders, care advice and bookings at a constant rate. */
    LUZON(
            "aftercare",
            1.0,
            List.of(
                    RequestKind.read("care-history", Duration.ofSeconds(60), 65),
                    RequestKind.write("reminder", false, 20, 20),
                    RequestKind.read("care-advice", Duration.ZERO, 5),
                    RequestKind.write("booking", true, 10, 10))),
    /** Only reads that tolerate staleness. */
    SHORT_READS(
            "familia-forms",
            1.0,
            List.of(RequestKind.read("draft-list", Duration.ofSeconds(30), 1))),
    /** Only writes. */
    WRITES("familia-forms", 1.0, List.of(RequestKind.write("draft-save", false, 1, 1)));

    private static final double PEAK_START = 1.0 / 3;
    private static final double PEAK_END = 2.0 / 3;

    private final String service;
    private final double peakRateMultiplier;
    private final List<RequestKind> kinds;

    Workload(String service, double peakRateMultiplier, List<RequestKind> kinds) {
        this.service = service;
        this.peakRateMultiplier = peakRateMultiplier;
        this.kinds = kinds;
    }

    /**
     * Returns the service name.
     *
     * @return the name in the team's document
     */
    public String service() {
        return service;
    }

    /**
     * Returns the factor by which the arrival rate is multiplied at a point of the run.
     *
     * @param progress the elapsed share of the run, from 0 to 1
     * @return the factor
     */
    public double rateMultiplier(double progress) {
        return isPeak(progress) ? peakRateMultiplier : 1.0;
    }

    /**
     * Draws a random kind of request according to the weights.
     *
     * @param random the source of randomness
     * @param progress the elapsed share of the run, from 0 to 1
     * @return the kind
     */
    public RequestKind sampleRequestKind(Random random, double progress) {
        boolean isPeak = isPeak(progress);
        double total = kinds.stream().mapToDouble(kind -> kind.weight(isPeak)).sum();
        double remaining = random.nextDouble() * total;
        for (RequestKind kind : kinds) {
            remaining -= kind.weight(isPeak);
            if (remaining < 0) {
                return kind;
            }
        }
        return kinds.get(kinds.size() - 1);
    }

    private static boolean isPeak(double progress) {
        return progress >= PEAK_START && progress < PEAK_END;
    }
}
