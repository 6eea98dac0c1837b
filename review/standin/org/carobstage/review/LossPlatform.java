package org.carobstage.review;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.carobstage.adapter.standin.StandInInstance;
import org.carobstage.adapter.standin.StandInLog;
import org.carobstage.adapter.standin.StandInObserver;
import org.carobstage.adapter.standin.StandInPlatform;

/**
 * Runs the project's stand-ins of the store and of one service. In each round the primary falls
 * silent; once a promotion has been ordered, the replica that is not promoted crashes and restarts
 * at once, and the primary answers again. Checks at each promotion that the promoted log has every
 * acknowledged commit. Arguments: the file of the record, the seconds until the first round, the
 * number of rounds, and the seconds to run.
 */
public final class LossPlatform implements StandInObserver {
    private static final long ROUND_MILLIS = 9_000;
    private static final long CRASH_MILLIS = 30;
    private static final long LONGEST_SILENCE_MILLIS = 3_000;

    private final Record record;
    private final EventLoop eventLoop;
    private final Set<String> acknowledged = new LinkedHashSet<>();
    private final StandInPlatform platform;
    private StandInInstance silent;
    private int round;

    private LossPlatform(Record record, EventLoop eventLoop) {
        this.record = record;
        this.eventLoop = eventLoop;
        this.platform =
                StandInPlatform.of(eventLoop, 1, StandInPlatform.Shape.SMALL, this, port -> port);
    }

    public static void main(String[] args) throws Exception {
        Record record = new Record(args[0]);
        NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
        LossPlatform self = new LossPlatform(record, eventLoops.next());
        self.platform.start();
        self.eventLoop
                .submit(
                        () ->
                                self.platform.writeConfiguration(
                                        1,
                                        Map.of("filings", "primary", "drafts", "read_your_writes")))
                .sync();
        System.out.println("store 127.0.0.1:" + self.platform.storePort());
        for (int i = 0; i < Integer.parseInt(args[2]); i++) {
            long at = Long.parseLong(args[1]) * 1_000 + i * ROUND_MILLIS;
            self.eventLoop.schedule(self::beginRound, at, TimeUnit.MILLISECONDS);
        }
        Thread.sleep(Long.parseLong(args[3]) * 1_000);
        System.exit(0);
    }

    private void beginRound() {
        round++;
        silent = platform.service().primary();
        silent.freeze();
        record.add("round " + round + ": primary " + silent.id() + " falls silent");
        StandInInstance frozen = silent;
        eventLoop.schedule(() -> wake(frozen), LONGEST_SILENCE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void wake(StandInInstance instance) {
        if (silent == instance) {
            silent = null;
            instance.thaw();
            record.add("round " + round + ": " + instance.id() + " answers again");
        }
    }

    @Override
    public void acknowledged(StandInInstance instance, StandInLog.Commit commit) {
        acknowledged.add(commit.request());
    }

    @Override
    public void promotionAccepted(StandInInstance target, String holder, long fencingToken) {
        record.add("promotion of " + target.id() + " ordered by " + holder);
        StandInInstance primary = silent;
        if (primary == null || primary == target) {
            return;
        }
        StandInInstance other =
                platform.service().instances().stream()
                        .filter(i -> i != primary && i != target)
                        .findFirst()
                        .orElseThrow();
        platform.crash(other);
        record.add("replica " + other.id() + " crashes");
        eventLoop.schedule(
                () -> {
                    platform.restart(other);
                    record.add("replica " + other.id() + " is back with its log");
                    wake(primary);
                },
                CRASH_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void beforePromotion(StandInInstance target) {
        long lost = acknowledged.stream().filter(r -> !target.log().contains(r)).count();
        record.add("check: " + target.id() + " is promoted, " + acknowledged.size()
                + " commits are acknowledged, lost=" + lost);
        acknowledged.stream()
                .filter(r -> !target.log().contains(r))
                .forEach(r -> record.add("lost commit id=" + r));
        acknowledged.removeIf(r -> !target.log().contains(r));
    }
}
