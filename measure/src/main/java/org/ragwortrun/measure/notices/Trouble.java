package org.ragwortrun.measure.notices;

/** What some endpoints do from a time on. */
enum Trouble {
    /** A third of the endpoints turn all requests away for two seconds, and say so. */
    THIRD_ASKS_FOR_TIME(3),
    /** Half of the endpoints say that they leave and are gone three seconds later, while the list is silent. */
    HALF_LEAVES(2);

    private final int divisor;

    Trouble(int divisor) {
        this.divisor = divisor;
    }

    boolean hits(int endpoint) {
        return endpoint % divisor == 0;
    }

    String figure() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
