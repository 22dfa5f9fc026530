package org.ragwortrun.core.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;

/** One log event, written as a line of key=value pairs. */
public final class Event {
    private final StringBuilder line = new StringBuilder(96);

    private Event(String name) {
        line.append("event=").append(name);
    }

    /** Starts an event. The name is lower case with hyphens. */
    public static Event of(String name) {
        return new Event(name);
    }

    /** Adds a pair. A value with white space, quotes or an equals sign is quoted. */
    public Event with(String key, Object value) {
        line.append(' ').append(key).append('=');
        appendValue(String.valueOf(value));
        return this;
    }

    public void info(Logger log) {
        log.info(line);
    }

    public void warn(Logger log) {
        log.warn(line);
    }

    public void debug(Logger log) {
        log.debug(line);
    }

    /** Logs a failure with its type and message; the stack trace appears at debug level only. */
    public void warn(Logger log, Throwable cause) {
        failure(log, Level.WARN, cause);
    }

    public void error(Logger log, Throwable cause) {
        failure(log, Level.ERROR, cause);
    }

    @Override
    public String toString() {
        return line.toString();
    }

    private void failure(Logger log, Level level, Throwable cause) {
        with("failure", cause.getClass().getSimpleName()).with("message", String.valueOf(cause.getMessage()));
        log.log(level, line);
        log.debug("event=stack-trace", cause);
    }

    private void appendValue(String value) {
        boolean plain = !value.isEmpty()
                && value.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f);
        if (plain) {
            line.append(value);
            return;
        }
        line.append('"');
        value.chars().forEach(this::appendEscaped);
        line.append('"');
    }

    private void appendEscaped(int c) {
        switch (c) {
            case '"', '\\' -> line.append('\\').append((char) c);
            case '\n' -> line.append("\\n");
            case '\r' -> line.append("\\r");
            case '\t' -> line.append("\\t");
            default -> line.append(c < ' ' ? '?' : (char) c);
        }
    }
}
