package org.ragwortrun.core.log;

import java.time.LocalDate;

/** Writes times as {@code 2026-01-31T23:59:59.999Z} without the initialization cost of a formatter. */
final class LogTime {
    private static final long DAY_MS = 86_400_000;
    private static final int HOUR_MS = 3_600_000;
    private static final int MINUTE_MS = 60_000;
    private static final int SECOND_MS = 1_000;

    private LogTime() {}

    static void append(StringBuilder out, long wallMillis) {
        LocalDate day = LocalDate.ofEpochDay(Math.floorDiv(wallMillis, DAY_MS));
        int ms = (int) Math.floorMod(wallMillis, DAY_MS);
        digits(out.append(day.getYear()).append('-'), day.getMonthValue(), 2);
        digits(out.append('-'), day.getDayOfMonth(), 2);
        digits(out.append('T'), ms / HOUR_MS, 2);
        digits(out.append(':'), ms % HOUR_MS / MINUTE_MS, 2);
        digits(out.append(':'), ms % MINUTE_MS / SECOND_MS, 2);
        digits(out.append('.'), ms % SECOND_MS, 3);
        out.append('Z');
    }

    private static void digits(StringBuilder out, int value, int count) {
        String text = Integer.toString(value);
        out.append("000", 0, count - text.length()).append(text);
    }
}
