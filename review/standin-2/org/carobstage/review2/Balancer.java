package org.carobstage.review2;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The platform's ingress: asks each process once a second whether it is ready. One that missed two
 * questions gets no new connections until it answers with 200. Each zone has one process.
 */
final class Balancer {
    private final List<Front> fronts;
    private final Map<String, Integer> misses = new ConcurrentHashMap<>();

    Balancer(List<Front> fronts) {
        this.fronts = fronts;
        for (int i = 0; i < fronts.size(); i++) {
            Front front = fronts.get(i);
            int phase = i * 400;
            Thread thread = new Thread(() -> probe(front, phase));
            thread.setDaemon(true);
            thread.start();
        }
    }

    /**
     * Returns the process for a new connection: that of the zone, or if it is not in rotation that
     * of the other zone. A retry goes to another process that is in rotation.
     */
    Front choose(int zone, int attempt) {
        List<Front> rotation = fronts.stream().filter(this::isInRotation).toList();
        Front own = fronts.get(zone % fronts.size());
        if (attempt % 2 == 1) {
            return rotation.stream().filter(f -> f != own).findFirst().orElse(own);
        }
        return rotation.contains(own) || rotation.isEmpty() ? own : rotation.get(0);
    }

    boolean isInRotation(Front front) {
        return misses.getOrDefault(front.name, 2) < 2;
    }

    private void probe(Front front, int phase) {
        try {
            Thread.sleep(phase);
            while (true) {
                long started = System.nanoTime();
                if (front.isReady()) {
                    misses.put(front.name, 0);
                } else {
                    misses.merge(front.name, 1, Integer::sum);
                }
                long spent = (System.nanoTime() - started) / 1_000_000;
                Thread.sleep(Math.max(1, 1_000 - spent));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
