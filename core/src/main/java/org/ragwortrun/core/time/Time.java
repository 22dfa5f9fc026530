package org.ragwortrun.core.time;

/** Source of time. Decisions take it as a dependency so that tests can move it. */
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
     * Returns the time of the operating system, whose wall clock is read once and then follows the monotonic clock. Steps
     * of the wall clock do not reach the owner.
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
