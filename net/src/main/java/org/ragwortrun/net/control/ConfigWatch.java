package org.ragwortrun.net.control;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.ConfigurationException;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.refusal.RefusedException;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.ConfigUpdate;
import org.ragwortrun.proto.Confirm;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Heartbeat;
import org.ragwortrun.proto.MoveProgress;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.SectionId;
import org.ragwortrun.proto.VersionDecision;
import org.ragwortrun.proto.Watch;

/**
 * Follows the accepted configuration and holds the daemon's configuration lease.
 *
 * <p>The lease starts when the confirmation is sent, so it expires here before the leader may consider it expired. A
 * configuration with a number below the highest one seen is never applied.
 */
public final class ConfigWatch implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ConfigWatch.class);
    private static final int META_GROUP = 0;
    // If the leader is isolated and does not answer, a lease of 3 s leaves time to try several other members.
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);
    private static final long RETRY_MS = 100;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ControlClient control;
    private final ScheduledExecutorService timer;
    private final Time time;
    private final Consumer<Configuration> listener;
    private final ConfigWatchLog log;
    private final Map<SectionId, Section> sections = new LinkedHashMap<>();
    private final Map<String, MoveProgress> moves = new LinkedHashMap<>();
    private final Map<String, VersionDecision> decisions = new LinkedHashMap<>();
    private volatile @Nullable Configuration current;
    private volatile Map<ByteString, Long> crashTimes = Map.of();
    private volatile Map<ByteString, CrashReport> quarantinedParts = Map.of();
    private volatile long leaseUntil;
    private volatile boolean leased;
    private volatile boolean closed;
    // Set while a failed confirmation is retried, so that periodic confirmations do not start further retries.
    private volatile boolean retrying;

    /**
     * Creates a watch, which {@link #start} starts.
     *
     * @param metrics receives delays and ages in milliseconds, and counts
     * @param listener receives each applied configuration on the thread of the timer
     */
    public ConfigWatch(
            ControlClient control,
            ScheduledExecutorService timer,
            Time time,
            Metrics metrics,
            Consumer<Configuration> listener) {
        this.control = control;
        this.timer = timer;
        this.time = time;
        this.listener = listener;
        log = new ConfigWatchLog(time, metrics, () -> control.leader(META_GROUP).orElse(""));
    }

    /** Starts to confirm the configuration periodically. */
    public void start(Duration interval) {
        SingleThreadExecutor.repeat(timer, this::confirmUnlessRetrying, 0, interval.toMillis());
    }

    /** Applies a configuration update pushed by a control member. Other frames are ignored. */
    public void onPush(Frame frame) {
        if (frame.hasConfigUpdate()) {
            long receivedAt = time.nanos();
            timer.execute(() -> apply(frame.getConfigUpdate(), ConfigDelivery.PUSH, receivedAt));
        }
    }

    /**
     * Returns the time in milliseconds since the last confirmation of the configuration was sent, empty if none was
     * answered.
     */
    public OptionalLong confirmedAgeMs() {
        return log.confirmedAgeMs();
    }

    /** Returns the configuration in force, if the lease on it is valid. */
    public Optional<Configuration> inForce() {
        Configuration c = current;
        boolean valid = leased && leaseUntil - time.nanos() > 0;
        return valid ? Optional.ofNullable(c) : Optional.empty();
    }

    /** Returns the latest configuration even if its lease has expired, for work that is already running. */
    public Optional<Configuration> latest() {
        return Optional.ofNullable(current);
    }

    /**
     * Returns the configuration in force.
     *
     * @throws RefusedException with {@code configuration-lease-expired} if the lease has expired
     */
    public Configuration require() throws RefusedException {
        return inForce()
                .orElseThrow(() -> new RefusedException(Refusal.notRun(
                        RefusalReason.CONFIGURATION_LEASE_EXPIRED,
                        "no control member has confirmed the configuration of this host",
                        RETRY_AFTER)));
    }

    /** Returns whether requests with this content digest are refused because they crash endpoints. */
    public boolean isRefused(ByteString digest) {
        return crashTimes.containsKey(digest);
    }

    /** Returns the reports on quarantined parts of prompts, by the digest of the part. */
    public Map<ByteString, CrashReport> quarantinedParts() {
        return quarantinedParts;
    }

    /** Returns the wall-clock time of the latest crash for each refused content digest, in milliseconds. */
    public Map<ByteString, Long> crashTimes() {
        return crashTimes;
    }

    @Override
    public void close() {
        closed = true;
        leased = false;
    }

    private void confirmUnlessRetrying() {
        if (!retrying) {
            confirm();
        }
    }

    private void confirm() {
        Configuration c = current;
        long number = c == null ? 0 : c.number();
        long sentAt = time.nanos();
        control.call(
                        META_GROUP,
                        Frame.newBuilder().setConfirm(Confirm.newBuilder().setNumber(number)),
                        CALL_TIMEOUT)
                .whenComplete((reply, failure) -> {
                    if (reply != null && reply.hasHeartbeat()) {
                        retrying = false;
                        log.onAnswered();
                        onHeartbeat(reply.getHeartbeat(), number, sentAt);
                    } else if (!closed) {
                        retrying = true;
                        log.onUnanswered(failure);
                        timer.schedule(this::confirm, RETRY_MS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    private void onHeartbeat(Heartbeat heartbeat, long confirmed, long sentAt) {
        if (heartbeat.getNumber() > confirmed || current == null) {
            log.onBehind(confirmed, heartbeat.getNumber());
            fetch();
        } else if (heartbeat.getLeaseMs() > 0 && heartbeat.getNumber() == confirmed) {
            leaseUntil = sentAt + TimeUnit.MILLISECONDS.toNanos(heartbeat.getLeaseMs());
            leased = true;
            log.onConfirmed(sentAt);
        }
    }

    private void fetch() {
        Configuration c = current;
        long have = c == null ? 0 : c.number();
        control.call(META_GROUP, Frame.newBuilder().setWatch(Watch.newBuilder().setHaveNumber(have)), CALL_TIMEOUT)
                .whenComplete((reply, failure) -> {
                    if (reply != null && reply.hasConfigUpdate()) {
                        long receivedAt = time.nanos();
                        timer.execute(() -> apply(reply.getConfigUpdate(), ConfigDelivery.FETCH, receivedAt));
                    } else {
                        log.onFetchFailed(have, failure);
                    }
                });
    }

    private void apply(ConfigUpdate update, ConfigDelivery delivery, long receivedAt) {
        Configuration before = current;
        long have = before == null ? 0 : before.number();
        boolean first = before == null;
        if (!first && update.getNumber() <= have) {
            return;
        }
        if (update.getBase() != 0 && update.getBase() != have) {
            fetch();
            return;
        }
        Configuration next;
        synchronized (this) {
            merge(update);
            try {
                next = Configuration.of(
                        update.getNumber(),
                        sections.values(),
                        moves.values(),
                        decisions.values(),
                        update.getOrderedMovesList());
            } catch (ConfigurationException e) {
                // Control checks before it accepts, so the software versions differ. Refusing is safer than guessing.
                Event.of("configuration-unreadable")
                        .with("number", update.getNumber())
                        .error(LOG, e);
                return;
            }
        }
        current = next;
        log.onApplied(update, first ? ConfigDelivery.FIRST : delivery, receivedAt, sections.size());
        listener.accept(next);
        confirm();
    }

    private void merge(ConfigUpdate update) {
        if (update.getBase() == 0) {
            sections.clear();
            moves.clear();
            decisions.clear();
            crashTimes = Map.of();
            quarantinedParts = Map.of();
        }
        update.getRemovedList().forEach(r -> {
            sections.remove(r);
            removeProgress(r.getKind(), r.getName());
        });
        update.getChangedList().forEach(s -> {
            sections.put(id(s), s);
            removeProgress(s.getKind(), s.getName());
        });
        update.getMovesList().forEach(m -> moves.put(m.getMove(), m));
        update.getDecisionsList().forEach(d -> decisions.put(d.getService() + "/" + d.getVersion(), d));
        addCrashTimes(
                update.getSuspectsList().stream().filter(s -> !s.getPart()).toList());
        mergeParts(
                update.getSuspectsList().stream().filter(CrashReport::getPart).toList());
    }

    private void mergeParts(List<CrashReport> reports) {
        if (reports.isEmpty()) {
            return;
        }
        Map<ByteString, CrashReport> next = new HashMap<>(quarantinedParts);
        for (CrashReport r : reports) {
            if (r.getRefused()) {
                next.put(r.getDigest(), r);
            } else {
                next.remove(r.getDigest());
            }
            Event.of(r.getRefused() ? "part-quarantined" : "part-released")
                    .with("part", Digests.hex(r.getDigest().toByteArray()))
                    .with("crashes", r.getCrashes())
                    .with("companions", r.getCompanionsCount())
                    .info(LOG);
        }
        quarantinedParts = Map.copyOf(next);
    }

    private void addCrashTimes(List<CrashReport> suspects) {
        if (!suspects.isEmpty()) {
            Map<ByteString, Long> next = new HashMap<>(crashTimes);
            suspects.stream().filter(CrashReport::getRefused).forEach(s -> next.put(s.getDigest(), s.getLastCrashMs()));
            crashTimes = Map.copyOf(next);
        }
    }

    /** Drops the progress of a move that was changed or removed; the update contains its current progress. */
    private void removeProgress(String kind, String name) {
        if (kind.equals(SectionKind.MOVE.text())) {
            moves.remove(name);
        }
    }

    private static SectionId id(Section s) {
        return SectionId.newBuilder().setKind(s.getKind()).setName(s.getName()).build();
    }
}
