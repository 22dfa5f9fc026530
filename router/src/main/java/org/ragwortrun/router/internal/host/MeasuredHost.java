package org.ragwortrun.router.internal.host;

import java.util.Locale;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.routing.HostLoad;
import org.ragwortrun.routing.HostUtilization;
import org.ragwortrun.routing.LoadShedder;
import org.ragwortrun.routing.WithdrawalPolicy;

/** Guard of a host whose capacity is known. Used on the event loop only, except for its metrics. */
public final class MeasuredHost implements HostGuard, Runnable {
    /** Interval at which the utilization is measured. */
    public static final long INTERVAL_MS = 100;

    // Load up to this utilization stays here. Moving all of it would only overload the next host in the same way.
    private static final double KEPT_UTILIZATION = 0.7;
    // Callers open their connections elsewhere a few at a time, so that the measured load shows when enough have moved.
    private static final int ANSWERS_PER_CLOSE = 8;
    private static final Logger LOG = LogManager.getLogger(MeasuredHost.class);
    private static final long LINE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final double PERMILLE = 1_000;

    private final TrafficMeter traffic;
    private final LongSupplier processorNanos;
    private final WithdrawalClient withdrawals;
    private final Executor loop;
    private final Metrics metrics;
    private final Time time;
    private final HostLoad load;
    private final LoadShedder shedder;
    private final LoadShedder receivedShedder;
    private final WithdrawalPolicy policy;
    private boolean shedding;
    private long lineNanos;
    private long refused;
    private long arrived;
    private volatile HostUtilization latest = HostUtilization.IDLE;
    private volatile double fraction;
    private int closableAnswers;
    private volatile boolean withdrawn;

    /**
     * Creates a guard.
     *
     * @param traffic bytes of the HTTP connections of this process
     * @param processorNanos processor time of this process
     * @param loop event loop
     */
    public MeasuredHost(
            HostLoad.Capacity capacity,
            TrafficMeter traffic,
            LongSupplier processorNanos,
            WithdrawalClient withdrawals,
            Executor loop,
            Metrics metrics,
            Time time) {
        this.traffic = traffic;
        this.processorNanos = processorNanos;
        this.withdrawals = withdrawals;
        this.loop = loop;
        this.metrics = metrics;
        this.time = time;
        long now = time.nanos();
        // The processor time before this moment belongs to the start.
        load = new HostLoad(capacity, new HostLoad.Counters(0, 0, processorNanos.getAsLong()), now);
        shedder = new LoadShedder(now);
        receivedShedder = new LoadShedder(now);
        policy = new WithdrawalPolicy(now);
        lineNanos = now - LINE_NANOS;
    }

    /** Registers gauges of the utilization and of the decisions. */
    public void addGauges() {
        metrics.gauge("host_link_in_permille", "Utilization of the receiving link", () -> permille(latest.in()));
        metrics.gauge("host_link_out_permille", "Utilization of the sending link", () -> permille(latest.out()));
        metrics.gauge(
                "host_processor_permille", "Utilization of the processor share", () -> permille(latest.processor()));
        metrics.gauge("host_shed_permille", "Part of new requests that is refused", () -> permille(fraction));
        metrics.gauge("host_withdrawn", "Whether this router is out of rotation", () -> withdrawn ? 1 : 0);
    }

    /** Measures the utilization and adjusts the decisions to it. */
    @Override
    public void run() {
        long now = time.nanos();
        load.sample(new HostLoad.Counters(traffic.bytesIn(), traffic.bytesOut(), processorNanos.getAsLong()), now);
        latest = load.utilization();
        shedder.update(latest, now);
        // Refusals of requests that have been received do not relieve the receiving link. Only a withdrawal does.
        receivedShedder.update(latest.withoutReceiving(), now);
        fraction = receivedShedder.fraction();
        logShedding(now);
        switch (policy.update(shedder.isOverloaded(), latest, now)) {
            case ASK -> ask(now);
            case RETURN -> {
                withdrawals.ask(0);
                log("rotation-entered").with("cause", "load-low").info(LOG);
            }
            case EXPIRED -> log("rotation-entered").with("cause", "lease-ended").info(LOG);
            case NONE -> {}
        }
        withdrawn = policy.isWithdrawn(now);
    }

    @Override
    public boolean isShedding() {
        return shedder.fraction() > 0;
    }

    @Override
    public boolean accepts(int priority, String account, boolean received) {
        arrived++;
        // Both count each request, because they control the shares of priorities and accounts.
        boolean acceptedUnread = shedder.accepts(priority, account);
        boolean acceptedReceived = receivedShedder.accepts(priority, account);
        boolean accepted = received ? acceptedReceived : acceptedUnread;
        if (!accepted) {
            refused++;
            metrics.count("requests_shed_priority_" + LoadShedder.reportedPriority(priority), 1);
        }
        return accepted;
    }

    @Override
    public boolean isWithdrawn() {
        return policy.isWithdrawn(time.nanos());
    }

    @Override
    public boolean closesConnections() {
        boolean overloaded = latest.highest() > KEPT_UTILIZATION && policy.closesConnections(time.nanos());
        return overloaded && ++closableAnswers % ANSWERS_PER_CLOSE == 0;
    }

    private void ask(long asked) {
        withdrawals
                .ask(policy.leaseNanos())
                .thenAccept(reply -> loop.execute(() -> {
                    reply.ifPresent(r -> policy.onReply(r.granted(), r.nanos(), asked, time.nanos()));
                    withdrawn = policy.isWithdrawn(time.nanos());
                    metrics.count(withdrawn ? "withdrawals" : "withdrawals_refused", 1);
                    log(withdrawn ? "rotation-left" : "rotation-kept")
                            .with(
                                    "coordinator",
                                    reply.map(WithdrawalLease::coordinator).orElse("none"))
                            .with(
                                    "ms",
                                    TimeUnit.NANOSECONDS.toMillis(
                                            reply.map(WithdrawalLease::nanos).orElse(0L)))
                            .info(LOG);
                }));
    }

    private void logShedding(long now) {
        boolean sheds = fraction > 0;
        if (sheds && now - lineNanos >= LINE_NANOS || !sheds && shedding) {
            log(sheds ? "host-overloaded" : "host-load-normal")
                    .with("requests", arrived)
                    .with("refused", refused)
                    .info(LOG);
            lineNanos = now;
            refused = 0;
            arrived = 0;
        }
        shedding = sheds;
    }

    private Event log(String name) {
        return Event.of(name)
                .with("in", part(latest.in()))
                .with("out", part(latest.out()))
                .with("processor", part(latest.processor()))
                .with("age-ms", TimeUnit.NANOSECONDS.toMillis(load.ageNanos(time.nanos())))
                .with("requests-per-s", Math.round(shedder.requestsPerSecond()))
                .with("shed", part(fraction));
    }

    private static String part(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    private static long permille(double value) {
        return Math.round(PERMILLE * value);
    }
}
