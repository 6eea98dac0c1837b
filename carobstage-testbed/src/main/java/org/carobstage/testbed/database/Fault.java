package org.carobstage.testbed.database;

/** Faults that can be injected into a simulated instance. */
public enum Fault {
    /** The instance is isolated from its group, while callers still reach it. */
    CUT,
    /** The instance sends no response until the fault is cleared; connections stay open. */
    FROZEN,
    /** Connections that are open when the fault is set get no more responses; new ones work. */
    SILENT
}
