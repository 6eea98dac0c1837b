package org.carobstage.testbed.scenario;

/** What one line of a scenario does. */
@FunctionalInterface
interface Step {
    /**
     * Does it.
     *
     * @param stage the running scenario
     */
    void run(ScenarioContext stage);
}
