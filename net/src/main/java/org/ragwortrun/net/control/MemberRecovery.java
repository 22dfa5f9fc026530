package org.ragwortrun.net.control;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.Member;

/**
 * Finds the control members again while this process gets no answer of a leader.
 *
 * <p>The leader names new members, but only to processes that it answers. A process that was cut off or suspended while
 * members were replaced by ones at other addresses may know only members that are gone, or that run but no longer belong
 * to the group. While no leader answers, other sources are searched at each interval. Used by one thread, apart from the
 * results.
 */
public final class MemberRecovery implements Runnable {
    /** Interval of the searches. */
    static final Duration INTERVAL = Duration.ofSeconds(1);

    private static final Logger LOG = LogManager.getLogger(MemberRecovery.class);
    private static final long NONE = Long.MIN_VALUE;
    // A leader is asked each second, and replaced within about a second if it is lost.
    private static final long LOST_AFTER_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long REPEATED_AFTER_SEARCHES = 30;

    private final ControlClient control;
    private final List<MemberSource> sources;
    private final Metrics metrics;
    private final Time time;
    private long lostNanos = NONE;
    private long searches;

    /**
     * Creates a recovery, which {@link #start} starts.
     *
     * @param control client whose members are looked for
     * @param metrics receives the number of searches
     */
    public MemberRecovery(ControlClient control, List<MemberSource> sources, Metrics metrics, Time time) {
        this.control = control;
        this.sources = List.copyOf(sources);
        this.metrics = metrics;
        this.time = time;
    }

    /** Checks periodically whether a leader answers. */
    public void start(ScheduledExecutorService timer) {
        SingleThreadExecutor.repeat(timer, this, INTERVAL.toMillis(), INTERVAL.toMillis());
    }

    @Override
    public void run() {
        if (isLost()) {
            search();
        } else if (lostNanos != NONE) {
            Event.of("control-regained")
                    .with("silent-ms", silentMs())
                    .with("searches", searches)
                    .with("known", control.knownMembers())
                    .info(LOG);
            lostNanos = NONE;
            searches = 0;
        }
    }

    private boolean isLost() {
        return control.nanosSinceLeaderNamedMembers() >= LOST_AFTER_NANOS;
    }

    private void search() {
        if (lostNanos == NONE) {
            lostNanos = time.nanos() - control.nanosSinceLeaderNamedMembers();
        }
        if (searches % REPEATED_AFTER_SEARCHES == 0) {
            Event.of("control-lost")
                    .with("silent-ms", silentMs())
                    .with("searches", searches)
                    .with("known", control.knownMembers())
                    .warn(LOG);
        }
        searches++;
        metrics.count("member_searches", 1);
        sources.forEach(s -> s.find(found -> onFound(s, found)));
    }

    private void onFound(MemberSource source, List<Member> found) {
        // The leader's own list goes before one that another process has passed on.
        if (isLost() && control.learn(found)) {
            Event.of("members-found")
                    .with("source", source.name())
                    .with("members", found.stream().map(Member::getName).toList())
                    .info(LOG);
        }
    }

    private long silentMs() {
        return TimeUnit.NANOSECONDS.toMillis(time.nanos() - lostNanos);
    }
}
