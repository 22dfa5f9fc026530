package org.ragwortrun.core.config;

import java.util.Arrays;
import java.util.Optional;

/** Kinds of sections in operators' files. A header reads {@code [kind name]}. */
public enum SectionKind {
    ACCOUNT("account"),
    BUDGET("budget"),
    SERVICE("service"),
    ROUTE("route"),
    ENDPOINT("endpoint"),
    MOVE("move"),
    ORIGIN("origin"),
    FORWARD("forward"),
    LIMITS("limits");

    private final String text;

    SectionKind(String text) {
        this.text = text;
    }

    public String text() {
        return text;
    }

    public static Optional<SectionKind> of(String text) {
        return Arrays.stream(values()).filter(k -> k.text.equals(text)).findFirst();
    }
}
