package org.carobstage.statement;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.carobstage.model.IdempotencyKey;
import org.carobstage.model.ServiceName;
import org.junit.jupiter.api.Test;

class IdempotencyKeyFactoryTest {
    // A write of one service was answered with the outcome of another service's write.
    @Property(tries = 20_000)
    void shouldScopeKeysDifferentlyWhenServiceOrKeyDiffer(
            @ForAll("texts") String service,
            @ForAll("texts") String key,
            @ForAll("texts") String otherService,
            @ForAll("texts") String otherKey) {
        Assume.that(!service.equals(otherService) || !key.equals(otherKey));

        assertThat(scope(service, key)).isNotEqualTo(scope(otherService, otherKey));
    }

    // Processes of an earlier build look up outcomes under the same keys.
    @Test
    void shouldKeepKeyOfEarlierBuildsWhenServiceNameIsPlain() {
        assertThat(scope("forms-a", "k/1%")).isEqualTo(IdempotencyKey.of("service/forms-a/k/1%"));
    }

    @Provide
    Arbitrary<String> texts() {
        return Arbitraries.strings().withChars("a/%25F").ofMinLength(1).ofMaxLength(4);
    }

    private static IdempotencyKey scope(String service, String key) {
        return IdempotencyKeyFactory.scope(ServiceName.of(service), IdempotencyKey.of(key));
    }
}
