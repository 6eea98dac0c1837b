package org.carobstage.testbed.scenario;

import static java.util.Objects.requireNonNull;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.carobstage.testbed.history.Violation;

/** A scenario that was read without an error. */
public final class Scenario {
    private static final String COMMENT = "#";

    private final String name;
    private final List<Line> lines;

    private Scenario(String name, List<Line> lines) {
        this.name = name;
        this.lines = List.copyOf(lines);
    }

    /**
     * Reads a scenario.
     *
     * @param name the name of its file
     * @param text the text of its file
     * @return the scenario
     * @throws ScenarioException for the first line that can't be read
     */
    public static Scenario parse(String name, String text) {
        requireNonNull(name, "name is null");
        List<Line> lines = new ArrayList<>();
        List<String> texts = text.lines().toList();
        for (int i = 0; i < texts.size(); i++) {
            String line = texts.get(i).split(COMMENT, 2)[0].trim();
            if (!line.isEmpty()) {
                lines.add(parse(name, i + 1, line));
            }
        }
        return new Scenario(name, lines);
    }

    /**
     * Runs the scenario and checks the history of its callers.
     *
     * @param examples the directory of the teams' documents
     * @return the violations of the history
     * @throws ScenarioException for the first expectation that does not hold
     */
    public List<Violation> run(Path examples) {
        ScenarioContext stage = new ScenarioContext(requireNonNull(examples, "examples is null"));
        for (Line line : lines) {
            try {
                line.step().run(stage);
            } catch (IllegalArgumentException | IllegalStateException e) {
                throw ScenarioException.of(name, line.number(), line.text(), e);
            }
        }
        return stage.checkHistory();
    }

    private static Line parse(String name, int number, String text) {
        try {
            return new Line(number, text, LineParser.parse(text));
        } catch (IllegalArgumentException e) {
            throw ScenarioException.of(name, number, text, e);
        }
    }

    private record Line(int number, String text, Step step) {}
}
