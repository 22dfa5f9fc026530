package org.ragwortrun.core.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.net.URI;
import java.util.Optional;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.LoggerContextFactory;
import org.jspecify.annotations.Nullable;

/**
 * Log4j back end of daemons, which writes one line per event to standard output through a bounded buffer.
 *
 * <p>A daemon that restarts on a fraction of a core must serve again within one second. Reading a configuration file
 * with the standard back end of Log4j takes most of that time, so this back end reads none.
 *
 * <p>The system property {@code log4j2.loggerContextFactory} selects this back end. The environment variable
 * {@code RAGWORTRUN_LOG} or the system property {@code ragwortrun.log} sets the level.
 */
public final class DaemonLogging implements LoggerContextFactory {
    private final DaemonLoggers loggers;

    /** Creates the back end. Called by Log4j. */
    public DaemonLogging() {
        String level = Optional.ofNullable(System.getenv("RAGWORTRUN_LOG"))
                .orElseGet(() -> System.getProperty("ragwortrun.log", "info"));
        loggers = new DaemonLoggers(
                LogBuffer.start(new FileOutputStream(FileDescriptor.out)), Level.toLevel(level, Level.INFO));
    }

    @Override
    public LoggerContext getContext(
            @Nullable String fqcn,
            @Nullable ClassLoader loader,
            @Nullable Object externalContext,
            boolean currentContext) {
        return loggers;
    }

    @Override
    public LoggerContext getContext(
            @Nullable String fqcn,
            @Nullable ClassLoader loader,
            @Nullable Object externalContext,
            boolean currentContext,
            @Nullable URI configLocation,
            @Nullable String name) {
        return loggers;
    }

    @Override
    public boolean hasContext(@Nullable String fqcn, @Nullable ClassLoader loader, boolean currentContext) {
        return true;
    }

    @Override
    public void removeContext(@Nullable LoggerContext context) {
        // The only context lives as long as the process.
    }

    @Override
    public boolean isClassLoaderDependent() {
        return false;
    }
}
