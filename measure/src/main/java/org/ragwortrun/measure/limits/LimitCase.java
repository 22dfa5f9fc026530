package org.ragwortrun.measure.limits;

import java.util.Locale;

/** Limits that endpoints name from a time on. */
enum LimitCase {
    /** One endpoint accepts 1.2 requests a second. */
    ONE_LIMITED(1) {
        @Override
        double perSecond(long sinceMicros) {
            return 1.2;
        }
    },
    /** All endpoints accept 2 requests a second, less than there are. */
    ALL_LIMITED(LimitsRun.ENDPOINTS) {
        @Override
        double perSecond(long sinceMicros) {
            return 2;
        }
    },
    /** The limit of one endpoint falls, rises and ends. */
    CHANGING(1) {
        @Override
        double perSecond(long sinceMicros) {
            long second = sinceMicros / SECOND_MICROS;
            if (second < 6) {
                return 4;
            }
            if (second < 14) {
                return 0.8;
            }
            return second < 20 ? 3 : Double.POSITIVE_INFINITY;
        }
    },
    /** One endpoint accepts 2.4 requests a second, while its coordinator is lost for three seconds and restarts. */
    COORDINATOR_LOST(1) {
        @Override
        double perSecond(long sinceMicros) {
            return 2.4;
        }

        @Override
        boolean isCoordinatorLost(long sinceMicros) {
            long second = sinceMicros / SECOND_MICROS;
            return second >= 6 && second < 9;
        }
    };

    private static final long SECOND_MICROS = 1_000_000;

    private final int limited;

    LimitCase(int limited) {
        this.limited = limited;
    }

    /** Returns the limit at a time after the endpoints first named one. */
    abstract double perSecond(long sinceMicros);

    boolean isCoordinatorLost(long sinceMicros) {
        return false;
    }

    /** Returns the number of endpoints that name a limit. */
    int limitedEndpoints() {
        return limited;
    }

    String figure() {
        return name().toLowerCase(Locale.ROOT);
    }
}
