package org.ragwortrun.cli.internal;

/** Exit codes of the program. */
public enum ExitCode {
    DONE(0, "done"),
    REFUSED(1, "refused or conflict"),
    USAGE(2, "wrong usage"),
    INVALID(3, "invalid files or settings"),
    UNREACHABLE(4, "control not reachable");

    private final int number;
    private final String meaning;

    ExitCode(int number, String meaning) {
        this.number = number;
        this.meaning = meaning;
    }

    public int number() {
        return number;
    }

    public String meaning() {
        return meaning;
    }
}
