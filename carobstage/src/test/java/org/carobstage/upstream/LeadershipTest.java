package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;
import org.junit.jupiter.api.Test;

class LeadershipTest {
    private static final InstanceId A = InstanceId.of("a");
    private static final InstanceId B = InstanceId.of("b");

    @Test
    void shouldAdoptNewerTermAndIgnoreOlderOne() {
        Leadership leadership =
                Leadership.empty().withLeader(A, Term.of(1)).withLeader(B, Term.of(2));

        assertThat(leadership.isLeader(B)).isTrue();
        assertThat(leadership.withLeader(A, Term.of(1)).isLeader(B)).isTrue();
    }

    @Test
    void shouldHaveNoLeaderWhenLeaderReportsFollowerOrRefuses() {
        Leadership leadership = Leadership.empty().withLeader(A, Term.of(1));

        assertThat(leadership.withFollower(A, Term.of(2)).leader()).isEmpty();
        assertThat(leadership.withoutLeader(A).leader()).isEmpty();
    }

    @Test
    void shouldKeepLeaderWhenAnotherInstanceReportsFollower() {
        Leadership leadership = Leadership.empty().withLeader(A, Term.of(1));

        assertThat(leadership.withFollower(B, Term.of(1)).isLeader(A)).isTrue();
        assertThat(leadership.withoutLeader(B).isLeader(A)).isTrue();
    }
}
