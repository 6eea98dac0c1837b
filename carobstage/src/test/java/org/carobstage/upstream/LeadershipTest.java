package org.carobstage.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import org.carobstage.model.InstanceId;
import org.carobstage.model.Term;
import org.junit.jupiter.api.Test;

class LeadershipTest {
    private static final InstanceId A = InstanceId.of("a");
    private static final InstanceId B = InstanceId.of("b");

    @Test
    void shouldFollowNewerTermAndIgnoreOlderOne() {
        Leadership leadership = Leadership.empty().leads(A, Term.of(1)).leads(B, Term.of(2));

        assertThat(leadership.isLeader(B)).isTrue();
        assertThat(leadership.leads(A, Term.of(1)).isLeader(B)).isTrue();
    }

    @Test
    void shouldKnowNoLeaderWhenItFollowsOrRefuses() {
        Leadership leadership = Leadership.empty().leads(A, Term.of(1));

        assertThat(leadership.follows(A, Term.of(2)).leader()).isEmpty();
        assertThat(leadership.refused(A).leader()).isEmpty();
    }

    @Test
    void shouldKeepLeaderWhenAnotherInstanceFollows() {
        Leadership leadership = Leadership.empty().leads(A, Term.of(1));

        assertThat(leadership.follows(B, Term.of(1)).isLeader(A)).isTrue();
        assertThat(leadership.refused(B).isLeader(A)).isTrue();
    }
}
