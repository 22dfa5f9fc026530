package org.ragwortrun.core.refusal;

import org.ragwortrun.proto.RunState;

/** Whether a refused request ran at an endpoint. */
public enum RunOutcome {
    NOT_RUN("not run", RunState.RUN_NOT_RUN),
    RAN("ran", RunState.RUN_RAN),
    UNKNOWN("unknown", RunState.RUN_UNKNOWN);

    private final String text;
    private final RunState wire;

    RunOutcome(String text, RunState wire) {
        this.text = text;
        this.wire = wire;
    }

    /** Returns the value of the {@code run} member of a problem document. */
    public String text() {
        return text;
    }

    public RunState wire() {
        return wire;
    }

    /** Converts a wire value. Anything but an explicit "not run" or "ran" is unknown. */
    public static RunOutcome of(RunState state) {
        return switch (state) {
            case RUN_NOT_RUN -> NOT_RUN;
            case RUN_RAN -> RAN;
            default -> UNKNOWN;
        };
    }
}
