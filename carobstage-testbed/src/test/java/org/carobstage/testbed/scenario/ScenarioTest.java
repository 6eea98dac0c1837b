package org.carobstage.testbed.scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

class ScenarioTest {
    private static final Path SCENARIOS = Path.of("scenarios");
    private static final Path EXAMPLES = Path.of("../examples");

    @TestFactory
    Stream<DynamicTest> shouldMeetExpectationsWithoutViolations() throws IOException {
        try (Stream<Path> files = Files.list(SCENARIOS)) {
            List<Path> sorted = files.sorted().toList();
            assertThat(sorted).isNotEmpty();
            return sorted.stream()
                    .map(
                            file ->
                                    DynamicTest.dynamicTest(
                                            file.getFileName().toString(), () -> run(file)));
        }
    }

    @Nested
    class Parse {
        @Test
        void shouldReportFileLineAndExpectedWordsWhenLineIsInvalid() {
            assertThatThrownBy(() -> Scenario.parse("x.scenario", "# x\n\nlayout recife\n"))
                    .isInstanceOf(ScenarioException.class)
                    .hasMessageStartingWith("x.scenario:3: layout recife: ")
                    .hasMessageContaining("[agreste, luzon] is expected in place of recife");
        }

        @Test
        void shouldRejectLineWhenWordsFollowCompleteStep() {
            assertThatThrownBy(() -> Scenario.parse("x.scenario", "wait 5 ms please"))
                    .hasMessageContaining("the end of the line is expected in place of please");
        }
    }

    @Nested
    class Run {
        @Test
        void shouldReportFileAndLineWhenExpectationFails() {
            Scenario scenario =
                    Scenario.parse(
                            "x.scenario",
                            "w: ana adds 1 to forms at one as filing\nexpect w not-run\n");

            assertThatThrownBy(() -> scenario.run(EXAMPLES))
                    .hasMessageStartingWith("x.scenario:2: expect w not-run: the outcome is Done");
        }
    }

    private static void run(Path file) throws IOException {
        Scenario scenario = Scenario.parse(file.getFileName().toString(), Files.readString(file));
        assertThat(scenario.run(EXAMPLES)).isEmpty();
    }
}
