package org.ragwortrun.core.log;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Marker;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.simple.SimpleLogger;
import org.apache.logging.log4j.util.PropertiesUtil;
import org.jspecify.annotations.Nullable;

/** A logger that writes one line of key=value pairs for each message. */
final class DaemonLogger extends SimpleLogger {
    private static final long serialVersionUID = 1L;

    private final transient LogBuffer buffer;
    private final String shortName;
    private final boolean projectLogger;

    /**
     * Creates a logger.
     *
     * @param projectLogger whether messages are events of this project; messages of libraries are wrapped in an event
     */
    DaemonLogger(
            String name,
            boolean projectLogger,
            Level level,
            @Nullable MessageFactory messages,
            PropertiesUtil settings,
            LogBuffer buffer) {
        super(
                name,
                level,
                false,
                false,
                false,
                false,
                "",
                messages,
                settings,
                new PrintStream(PrintStream.nullOutputStream()));
        this.buffer = buffer;
        this.projectLogger = projectLogger;
        shortName = name.substring(name.lastIndexOf('.') + 1);
    }

    @Override
    public void logMessage(
            @Nullable String fqcn, Level level, @Nullable Marker marker, Message message, @Nullable Throwable failure) {
        String text = message.getFormattedMessage();
        StringBuilder line = new StringBuilder(text.length() + 96);
        line.append("time=");
        LogTime.append(line, System.currentTimeMillis());
        line.append(" level=")
                .append(level.name())
                .append(" logger=")
                .append(shortName)
                .append(' ');
        line.append(
                projectLogger
                        ? text
                        : Event.of("library-message").with("message", text).toString());
        if (failure != null) {
            StringWriter stack = new StringWriter();
            failure.printStackTrace(new PrintWriter(stack));
            line.append(' ').append(Event.pair("stack", stack.toString()));
        }
        buffer.add(line.append('\n').toString());
    }
}
