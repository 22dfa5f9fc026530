package org.ragwortrun.routing;

/**
 * The rate of requests that all routers together may send to an endpoint that has started or recovered.
 *
 * <p>The rate begins low, doubles in each interval in which the endpoint answers well, and is halved when it does not. It
 * never exceeds the warm-up rate while the endpoint is cold. The ramp ends when the rate exceeds what an endpoint usually
 * gets. After each failure the rate grows more slowly. An endpoint that fails soon after a ramp has begun waits twice as
 * long for the next one, which takes twice as long. Times are monotonic nanoseconds.
 */
public final class EndpointRamp {
    /**
     * Requests per second at the beginning of a ramp, and the least. Two attempts in a second for the whole fleet show soon
     * enough that a crashed endpoint is back.
     */
    public static final double START_PER_SECOND = 2;

    // An endpoint that has answered well at this rate for an interval takes its normal share: the endpoints of the
    // largest deployments get 20 to 40 requests in a second.
    private static final double END_PER_SECOND = 32;
    // For services whose endpoints get more requests even while they are cold.
    private static final double END_WARM_UP_RATES = 4;
    private static final double COLD_START_PART = 0.5;
    private static final double FACTOR = 2;
    // Some answers are errors of the request and not of the endpoint. Same threshold as for an exclusion.
    private static final double MAX_BAD_PART = 0.3;
    private static final long INTERVAL_NANOS = 250_000_000L;
    private static final long MAX_INTERVAL_NANOS = 16 * INTERVAL_NANOS;
    // Answers to requests that were sent before the rate was halved do not halve it again.
    private static final long MIN_HALVING_NANOS = 500_000_000L;
    // Routers take a rate of 0 for none.
    private static final double MIN_REPORTED = 0.1;
    private static final long FIRST_PAUSE_NANOS = 400_000_000L;
    private static final long MAX_PAUSE_NANOS = 16 * FIRST_PAUSE_NANOS;
    // A ramp that begins sooner after the previous one shows that the endpoint flaps.
    private static final long FLAPPING_NANOS = 30_000_000_000L;
    // Routers that follow a ramp without sending requests do not keep it in force.
    private static final long MAX_IDLE_NANOS = 30_000_000_000L;
    private static final long MILLI_NANOS = 1_000_000;

    private boolean begun;
    private double rate;
    private double coldPerSecond;
    private long coldUntilNanos;
    private boolean answersWell;
    private boolean followed;
    private long followedNanos;
    private long begunNanos;
    private long changedNanos;
    private long halvedNanos;
    private long intervalNanos = INTERVAL_NANOS;
    private long pauseNanos;
    private long pausedUntilNanos;
    private int good;
    private int bad;

    /**
     * Records what a router knows, and the answers that it has received. Begins a ramp if the endpoint is cold, has
     * failed, or is not known yet.
     */
    public void onReport(RampReport report, AnswerCounts answers, long now) {
        boolean claimsCold = report.warmUpMs() > 0 && report.warmUpPerSecond() > 0;
        boolean follows = report.perSecond() > 0;
        boolean failed = isBad(answers.good(), answers.bad());
        if (!isInForce(now) && (claimsCold || follows && (!begun || failed))) {
            begin(claimsCold ? report.warmUpPerSecond() : 0, failed, now);
        } else if (isInForce(now)) {
            onAnswers(answers, now);
        }
        if (claimsCold) {
            coldPerSecond = report.warmUpPerSecond();
            coldUntilNanos = later(coldUntilNanos, now + report.warmUpMs() * MILLI_NANOS, now);
        }
        if (follows && begun) {
            followed = true;
            followedNanos = now;
        }
        cap(now);
    }

    private void begin(double warmUpPerSecond, boolean failed, long now) {
        if (failed) {
            boolean flapping = pauseNanos > 0 && now - begunNanos < FLAPPING_NANOS;
            pauseNanos = flapping ? Math.min(MAX_PAUSE_NANOS, 2 * pauseNanos) : FIRST_PAUSE_NANOS;
        }
        pausedUntilNanos = failed ? now + pauseNanos : now;
        begun = true;
        followed = false;
        begunNanos = now;
        changedNanos = now;
        halvedNanos = now;
        intervalNanos = failed
                ? Math.min(MAX_INTERVAL_NANOS, INTERVAL_NANOS * (pauseNanos / FIRST_PAUSE_NANOS))
                : INTERVAL_NANOS;
        answersWell = false;
        rate = startPerSecond(warmUpPerSecond);
        coldUntilNanos = now;
        resetCounts();
    }

    private void onAnswers(AnswerCounts answers, long now) {
        good += answers.good();
        bad += answers.bad();
        if (isBad(good, bad)) {
            if (now - halvedNanos >= MIN_HALVING_NANOS) {
                halvedNanos = now;
                // An endpoint that has only been unreachable does not need to grow more slowly.
                intervalNanos = answersWell ? Math.min(MAX_INTERVAL_NANOS, 2 * intervalNanos) : intervalNanos;
                answersWell = false;
                change(Math.max(START_PER_SECOND, rate / FACTOR), now);
            }
        } else if (good > 0 && !answersWell) {
            answersWell = true;
            rate = Math.max(rate, startPerSecond(coldPerSecond(now)));
        } else if (good > 0 && now - changedNanos >= intervalNanos) {
            change(rate * FACTOR, now);
        }
    }

    private static boolean isBad(int good, int bad) {
        return bad > MAX_BAD_PART * (good + bad);
    }

    private void change(double next, long now) {
        rate = next;
        changedNanos = now;
        resetCounts();
    }

    private void resetCounts() {
        good = 0;
        bad = 0;
    }

    private static double startPerSecond(double warmUpPerSecond) {
        return Math.max(START_PER_SECOND, warmUpPerSecond * COLD_START_PART);
    }

    private void cap(long now) {
        if (isCold(now)) {
            rate = Math.min(rate, coldPerSecond);
        }
    }

    /** Returns the requests per second that routers which follow ramps may send now, 0 during a pause. */
    public double perSecond(long now) {
        if (pausedUntilNanos - now > 0) {
            return 0;
        }
        return isCold(now) ? Math.min(rate, coldPerSecond) : rate;
    }

    /** Returns the requests per second that the endpoint tolerates while it is cold, 0 if it is not cold. */
    public double coldPerSecond(long now) {
        return isCold(now) ? coldPerSecond : 0;
    }

    /** Returns the time until the end of a pause, 0 if there is none. */
    public long pauseLeftNanos(long now) {
        return Math.max(0, pausedUntilNanos - now);
    }

    /** Returns whether the endpoint is cold, as far as routers have reported. */
    public boolean isCold(long now) {
        return begun && coldUntilNanos - now > 0;
    }

    /** Returns whether requests to the endpoint are limited. */
    public boolean isInForce(long now) {
        boolean growing = followed && now - followedNanos < MAX_IDLE_NANOS && rate < endPerSecond();
        return begun && (isCold(now) || growing);
    }

    /** Returns what routers are told. */
    public RampReport report(long now) {
        long coldMs = isCold(now) ? Math.max(1, (coldUntilNanos - now) / MILLI_NANOS) : 0;
        // Above 0 during a pause as well, because the routers shall follow the ramp.
        return new RampReport(Math.max(MIN_REPORTED, perSecond(now)), coldPerSecond(now), coldMs);
    }

    private double endPerSecond() {
        return Math.max(END_PER_SECOND, END_WARM_UP_RATES * coldPerSecond);
    }

    private static long later(long known, long next, long now) {
        return known - now > 0 ? Math.max(known, next) : next;
    }
}
