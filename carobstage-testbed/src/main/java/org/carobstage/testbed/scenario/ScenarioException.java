package org.carobstage.testbed.scenario;

/** Thrown for a line of a scenario that can't be parsed, fails, or whose expectation is not met. */
public final class ScenarioException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private ScenarioException(String message, Throwable cause) {
        super(message, cause);
    }

    static ScenarioException of(String file, int line, String text, RuntimeException cause) {
        String message = file + ":" + line + ": " + text + ": " + cause.getMessage();
        return new ScenarioException(message, cause);
    }
}
