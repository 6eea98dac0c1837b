package org.carobstage.testbed.database;

/** The faults that a stand-in instance plays when asked. */
public enum Fault {
    /** Cut off from its group, while callers still reach it. */
    CUT,
    /** Answers nothing until the fault ends; connections stay open. */
    FROZEN,
    /** Connections open at this moment never answer again; new ones work. */
    SILENT
}
