package org.carobstage.testbed.scenario;

import static java.util.Objects.requireNonNull;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.carobstage.testbed.history.Violation;

/** A parsed scenario. */
public final class Scenario {
    private static final String COMMENT_MARK = "#";

    private final String name;
    private final List<Line> lines;

    private Scenario(String name, List<Line> lines) {
        this.name = name;
        this.lines = List.copyOf(lines);
    }

    /**
     * Parses a scenario.
     *
     * @param name the name of its file
     * @param text the text of its file
     * @return the scenario
     * @throws ScenarioException for the first line that can't be parsed
     */
    public static Scenario parse(String name, String text) {
        requireNonNull(name, "name is null");
        List<Line> lines = new ArrayList<>();
        List<String> textLines = text.lines().toList();
        for (int i = 0; i < textLines.size(); i++) {
            String line = textLines.get(i).split(COMMENT_MARK, 2)[0].trim();
            if (!line.isEmpty()) {
                lines.add(parse(name, i + 1, line));
            }
        }
        return new Scenario(name, lines);
    }

    /**
     * Runs the scenario and checks the history of its operations.
     *
     * @param examples the directory that contains the teams' documents
     * @return the violations in the history
     * @throws ScenarioException for the first step that fails or whose expectation is not met
     */
    public List<Violation> run(Path examples) {
        ScenarioContext context = new ScenarioContext(requireNonNull(examples, "examples is null"));
        for (Line line : lines) {
            try {
                line.step().run(context);
            } catch (IllegalArgumentException | IllegalStateException e) {
                throw ScenarioException.of(name, line.number(), line.text(), e);
            }
        }
        return context.checkHistory();
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
