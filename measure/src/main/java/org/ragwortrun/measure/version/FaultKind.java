package org.ragwortrun.measure.version;

/** Kinds of generated versions. */
enum FaultKind {
    NONE,
    FAILS_AT_ONCE,
    FAILS_LATE,
    FAILS_UNDER_LOAD,
    FAILS_ON_ONE_ROUTE,
    SLOW_AT_ONCE,
    SLOW_LATE,
    SLOW_ON_ONE_ROUTE;

    boolean isSlow() {
        return this == SLOW_AT_ONCE || this == SLOW_LATE || this == SLOW_ON_ONE_ROUTE;
    }

    boolean isLate() {
        return this == FAILS_LATE || this == SLOW_LATE;
    }

    boolean isOnOneRoute() {
        return this == FAILS_ON_ONE_ROUTE || this == SLOW_ON_ONE_ROUTE;
    }
}
