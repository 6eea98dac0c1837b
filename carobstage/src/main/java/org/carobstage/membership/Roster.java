package org.carobstage.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.carobstage.membership.MembershipAction.Changed;
import org.carobstage.model.Member;
import org.carobstage.model.MemberState;
import org.carobstage.model.VmId;

/** What is known of each member, and the news of it. */
final class Roster {
    private final Map<VmId, Known> known = new HashMap<>();
    private final News news = new News();
    private final Consumer<Changed> listener;
    private Member self;
    private int live = 1;

    private Roster(Member self, Consumer<Changed> listener) {
        this.self = self;
        this.listener = listener;
    }

    static Roster of(Member self, Consumer<Changed> listener) {
        Roster roster = new Roster(self, listener);
        roster.news.add(self);
        return roster;
    }

    Member self() {
        return self;
    }

    News news() {
        return news;
    }

    int liveCount() {
        return live;
    }

    Optional<Member> get(VmId vm) {
        return Optional.ofNullable(known.get(vm)).map(Known::member);
    }

    /** Returns all members that are not forgotten, with this process. */
    List<Member> all() {
        List<Member> all = new ArrayList<>();
        all.add(self);
        known.values().forEach(k -> all.add(k.member()));
        return all;
    }

    /** Returns the live members without this process, in a list that the caller may change. */
    List<Member> others() {
        List<Member> others = new ArrayList<>();
        known.values().stream()
                .map(Known::member)
                .filter(m -> m.state().isLive())
                .sorted((a, b) -> a.vm().compareTo(b.vm()))
                .forEach(others::add);
        return others;
    }

    void merge(Collection<Member> reports, long now) {
        reports.forEach(r -> merge(r, now));
    }

    void suspect(VmId vm, long now) {
        get(vm).filter(m -> m.state().ordinal() < MemberState.SUSPECT.ordinal())
                .ifPresent(m -> put(m.as(MemberState.SUSPECT), now));
    }

    /** Declares suspects dead whose time is over, and forgets the long dead. */
    void expire(long now) {
        long suspicion = MembershipTimes.suspicionNanos(live);
        List<Member> dead = new ArrayList<>();
        for (Known k : known.values()) {
            boolean suspect = k.member().state() == MemberState.SUSPECT;
            if (suspect && now - k.since() >= suspicion) {
                dead.add(k.member());
            }
        }
        dead.forEach(m -> put(m.as(MemberState.DEAD), now));
        known.values()
                .removeIf(
                        k ->
                                !k.member().state().isLive()
                                        && now - k.since() >= MembershipTimes.FORGET_NANOS);
    }

    /** Returns the suspects that are to be pinged once more before they are declared dead. */
    List<Member> lastChances(long now) {
        long suspicion = MembershipTimes.suspicionNanos(live);
        List<Member> due = new ArrayList<>();
        for (Known k : known.values()) {
            long left = k.since() + suspicion - now;
            boolean soon =
                    left
                            <= (MembershipTimes.LAST_CHANCES - k.chances())
                                    * MembershipTimes.LAST_CHANCE_NANOS;
            if (k.member().state() == MemberState.SUSPECT
                    && k.chances() < MembershipTimes.LAST_CHANCES
                    && soon) {
                due.add(k.member());
            }
        }
        due.forEach(m -> known.computeIfPresent(m.vm(), (vm, k) -> k.withChance()));
        return due;
    }

    void restartSuspicions(long now) {
        known.replaceAll(
                (vm, k) ->
                        k.member().state() == MemberState.SUSPECT ? Known.of(k.member(), now) : k);
    }

    /** Announces this process anew, with a higher incarnation. */
    void announce(MemberState state) {
        self = self.as(state).at(self.incarnation() + 1);
        news.add(self);
    }

    /** Returns a digest of the live members, equal for equal views. */
    long digest() {
        return all().stream()
                .filter(m -> m.state().isLive())
                .mapToLong(Roster::digest)
                .reduce(0, Long::sum);
    }

    private static long digest(Member m) {
        long seed = m.vm().value().hashCode() * 31L + m.state().ordinal();
        return new SplittableRandom(seed + (m.incarnation() << 20)).nextLong();
    }

    private void merge(Member report, long now) {
        if (report.vm().equals(self.vm())) {
            refute(report);
            return;
        }
        Known current = known.get(report.vm());
        boolean unknownDead = current == null && !report.state().isLive();
        if (!unknownDead && (current == null || report.replaces(current.member()))) {
            put(report, now);
        }
    }

    private void refute(Member report) {
        if (self.state() != MemberState.DEAD && report.replaces(self)) {
            self = self.at(report.incarnation() + 1);
            news.add(self);
        }
    }

    private void put(Member member, long now) {
        Known before = known.put(member.vm(), Known.of(member, now));
        boolean was = before != null && before.member().state().isLive();
        boolean is = member.state().isLive();
        live += (is ? 1 : 0) - (was ? 1 : 0);
        news.add(member);
        listener.accept(new Changed(Optional.ofNullable(before).map(Known::member), member));
    }

    private record Known(Member member, long since, int chances) {
        private static Known of(Member member, long now) {
            return new Known(member, now, 0);
        }

        private Known withChance() {
            return new Known(member, since, chances + 1);
        }
    }
}
