package org.ragwortrun.core.config;

import java.time.DateTimeException;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations in settings and operators' files. */
public final class Durations {
    private static final Pattern FORM = Pattern.compile("(\\d{1,9})(ms|s|m|h|d)");

    private Durations() {}

    /**
     * Parses a whole number with a unit: {@code ms}, {@code s}, {@code m}, {@code h} or {@code d}.
     *
     * @throws DateTimeException if the text has another form
     */
    public static Duration parse(String text) {
        Matcher m = FORM.matcher(text.trim());
        if (!m.matches()) {
            throw new DateTimeException("not a duration: " + text);
        }
        long n = Long.parseLong(m.group(1));
        return switch (m.group(2)) {
            case "ms" -> Duration.ofMillis(n);
            case "s" -> Duration.ofSeconds(n);
            case "m" -> Duration.ofMinutes(n);
            case "h" -> Duration.ofHours(n);
            default -> Duration.ofDays(n);
        };
    }
}
