package org.ragwortrun.core.log;

import java.util.Map;
import java.util.Properties;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.Terminable;
import org.apache.logging.log4j.util.PropertiesUtil;
import org.jspecify.annotations.Nullable;

/** The loggers of a daemon by name. Loggers of libraries have the level WARN. */
final class DaemonLoggers implements LoggerContext, Terminable {
    private static final String PROJECT = "org.ragwortrun";

    private final LogBuffer buffer;
    private final Level level;
    private final PropertiesUtil none = new PropertiesUtil(new Properties());
    private final Map<String, ExtendedLogger> loggers = new ConcurrentHashMap<>();

    DaemonLoggers(LogBuffer buffer, Level level) {
        this.buffer = buffer;
        this.level = level;
    }

    @Override
    public @Nullable Object getExternalContext() {
        return null;
    }

    @Override
    public ExtendedLogger getLogger(String name) {
        return getLogger(name, null);
    }

    @Override
    public ExtendedLogger getLogger(String name, @Nullable MessageFactory messages) {
        return loggers.computeIfAbsent(name, n -> {
            boolean project = n.startsWith(PROJECT);
            return new DaemonLogger(n, project, project ? level : Level.WARN, messages, none, buffer);
        });
    }

    @Override
    public boolean hasLogger(String name) {
        return loggers.containsKey(name);
    }

    @Override
    public boolean hasLogger(String name, @Nullable MessageFactory messages) {
        return hasLogger(name);
    }

    @Override
    public boolean hasLogger(String name, Class<? extends MessageFactory> messages) {
        return hasLogger(name);
    }

    /** Writes the remaining lines. */
    @Override
    public void terminate() {
        buffer.close();
    }
}
