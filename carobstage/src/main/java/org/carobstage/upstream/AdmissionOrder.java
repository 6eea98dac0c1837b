package org.carobstage.upstream;

/** The order in which requests for a connection are granted or, under overload, rejected. */
public enum AdmissionOrder {
    /** The earliest deadline first. */
    DEADLINE,
    /** The highest priority first, and fairly between client accounts. */
    PRIORITY
}
