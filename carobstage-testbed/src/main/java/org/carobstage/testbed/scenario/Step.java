package org.carobstage.testbed.scenario;

/** A step of a scenario, parsed from one line. */
@FunctionalInterface
interface Step {
    /**
     * Runs the step.
     *
     * @param context the running scenario
     */
    void run(ScenarioContext context);
}
