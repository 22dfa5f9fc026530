package org.ragwortrun.core.time;

/** Source of time. Injected where decisions depend on time, so that tests can control it. */
public interface Time {
    /** Returns monotonic time in nanoseconds. Only differences have a meaning. */
    long nanos();

    /** Returns wall-clock time in milliseconds since 1970, for records that people read. */
    long wallMillis();

    /** Returns monotonic time in milliseconds. */
    default long millis() {
        return nanos() / 1_000_000;
    }

    /**
     * Returns the time of the operating system with a steady wall clock, which is read once and then advances with the
     * monotonic clock. Later steps of the system's wall clock have no effect.
     */
    static Time steady() {
        Time system = system();
        long startNanos = system.nanos();
        long startMillis = system.wallMillis();
        return new Time() {
            @Override
            public long nanos() {
                return system.nanos();
            }

            @Override
            public long wallMillis() {
                return startMillis + (system.nanos() - startNanos) / 1_000_000;
            }
        };
    }

    /** Returns the time of the operating system. */
    static Time system() {
        return new Time() {
            @Override
            public long nanos() {
                return System.nanoTime();
            }

            @Override
            public long wallMillis() {
                return System.currentTimeMillis();
            }
        };
    }
}
