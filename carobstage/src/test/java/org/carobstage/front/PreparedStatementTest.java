package org.carobstage.front;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Assume;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.Tuple.Tuple2;
import org.carobstage.sql.Statement;
import org.junit.jupiter.api.Test;

class PreparedStatementTest {
    private static final int MAX_NAME_LENGTH = 66;

    private final SessionFixture fixture = new SessionFixture();

    // Two texts shared a name, so that a client's write ran with the text of another client.
    @Property(tries = 20_000)
    void shouldNameStatementsDifferentlyWhenTheyDiffer(
            @ForAll("similarStatements") Tuple2<PreparedStatement, PreparedStatement> pair) {
        Assume.that(!pair.get1().equals(pair.get2()));

        assertThat(pair.get1().sharedName()).isNotEqualTo(pair.get2().sharedName());
    }

    // A name that is no single field, or as long as a text, would end the connection.
    @Property
    void shouldNameStatementByShortFieldWhateverItsText(@ForAll("statements") PreparedStatement p) {
        assertThat(p.sharedName())
                .matches("[A-Za-z0-9_]+")
                .hasSizeLessThanOrEqualTo(MAX_NAME_LENGTH);
    }

    @Test
    void shouldNameLongTextsDifferentlyWhenTheyDifferAtTheEnd() {
        String text = "a".repeat(1_000_000);

        assertThat(PreparedStatement.of(true, text + " b").sharedName())
                .isNotEqualTo(PreparedStatement.of(true, text + "_b").sharedName());
    }

    // A client's write was committed with the text that another client had prepared.
    @Test
    void shouldExecuteOwnTextWhenTextsDifferInBlankAndUnderscore() {
        fixture.group.setConnectionLimit(1, 5);
        ClientSession first = fixture.openSession("primary", new RecordingChannel());
        ClientSession second = fixture.openSession("primary", new RecordingChannel());
        fixture.send(first, new Statement.Prepare("s1", true, "add party"));
        fixture.send(second, new Statement.Prepare("s1", true, "add_party"));
        String one = fixture.send(first, new Statement.Execute("s1", "k data"));
        fixture.advanceMillis(60);
        String two = fixture.send(second, new Statement.Execute("s1", "k data"));
        fixture.advanceMillis(60);

        assertThat(nameExecutedBy(one)).isNotEmpty().isNotEqualTo(nameExecutedBy(two));
    }

    private String nameExecutedBy(String requestId) {
        return fixture.service.instances().stream()
                .flatMap(i -> i.executedStatements().stream())
                .filter(line -> line.startsWith(requestId + " "))
                .map(line -> line.replaceFirst(".*name=([^,]*),.*", "$1"))
                .findFirst()
                .orElse("");
    }

    @Provide
    Arbitrary<Tuple2<PreparedStatement, PreparedStatement>> similarStatements() {
        return Combinators.combine(statements(), statements()).as(Tuple::of);
    }

    /** Few characters, among them those of encoded names, so that texts are often alike. */
    @Provide
    Arbitrary<PreparedStatement> statements() {
        Arbitrary<String> alike =
                Arbitraries.strings().withChars(" _-0205f\u00a0\u0100\t").ofMaxLength(4);
        Arbitrary<String> any = Arbitraries.strings().ofMaxLength(200);
        return Combinators.combine(
                        Arbitraries.of(true, false),
                        Arbitraries.frequencyOf(Tuple.of(9, alike), Tuple.of(1, any)))
                .as(PreparedStatement::of);
    }
}
