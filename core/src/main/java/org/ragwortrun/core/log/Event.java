package org.ragwortrun.core.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;

/** One log event, written as a line of key=value pairs. */
public final class Event {
    private static final int MAX_EXTERNAL_CHARS = 64;

    private final StringBuilder line = new StringBuilder(96);

    private Event(String name) {
        line.append("event=").append(name);
    }

    /** Starts an event. The name is lower case with hyphens. */
    public static Event of(String name) {
        return new Event(name);
    }

    /** Returns a single pair in the form in which it appears in a line. */
    static String pair(String key, Object value) {
        return new Event("").with(key, value).toString().substring("event= ".length());
    }

    /** Adds a pair. A value with white space, quotes or an equals sign is quoted. */
    public Event with(String key, Object value) {
        line.append(' ').append(key).append('=');
        appendValue(String.valueOf(value));
        return this;
    }

    /** Adds a pair whose value was received from outside; it is cut after 64 characters. */
    public Event withExternal(String key, String value) {
        return with(key, value.substring(0, Math.min(MAX_EXTERNAL_CHARS, value.length())));
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
        if (isPlain(value)) {
            line.append(value);
            return;
        }
        line.append('"');
        value.chars().forEach(this::appendEscaped);
        line.append('"');
    }

    // A loop is cheaper than a stream, and this runs for each value in the log line of each request.
    private static boolean isPlain(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f) {
                return false;
            }
        }
        return !value.isEmpty();
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
