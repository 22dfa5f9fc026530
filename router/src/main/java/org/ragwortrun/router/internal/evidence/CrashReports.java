package org.ragwortrun.router.internal.evidence;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.CrashEvidence;
import org.ragwortrun.proto.EndpointCrash;
import org.ragwortrun.proto.Frame;

/**
 * Reports endpoint crashes to the meta leader, retrying each report until it is recorded.
 *
 * <p>At most one message is in flight. A retry uses the same sequence number, so that the leader counts each crash once.
 * Crashes that occur in the meantime are sent together in the next message.
 */
public final class CrashReports {
    private static final Logger LOG = LogManager.getLogger(CrashReports.class);
    private static final int META_GROUP = 0;
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final long RETRY_MS = 200;
    // A call has ended by then, unless its end was lost.
    private static final long LOST_NANOS = 2 * TIMEOUT.toNanos();
    private static final int MAX_QUEUED = 256;

    private final ControlClient control;
    private final String incarnation;
    private final Deque<EndpointCrash> queued = new ArrayDeque<>();
    private final Set<ByteString> answeredParts = new LinkedHashSet<>();
    private @Nullable CrashEvidence inFlight;
    private boolean called;
    private long calledNanos;
    private long sequence;

    /**
     * Creates a reporter.
     *
     * @param incarnation incarnation of the router, which scopes the sequence numbers
     */
    public CrashReports(ControlClient control, ScheduledExecutorService timer, String incarnation) {
        this.control = control;
        this.incarnation = incarnation;
        SingleThreadExecutor.repeat(timer, this::resend, RETRY_MS, RETRY_MS);
    }

    /** Reports a crash with the contents and the parts of prompts that may have caused it. */
    public void add(EndpointCrash crash) {
        synchronized (this) {
            if (queued.size() >= MAX_QUEUED) {
                EndpointCrash dropped = queued.remove();
                Event.of("crash-report-dropped")
                        .with("endpoint", dropped.getEndpoint())
                        .warn(LOG);
            }
            queued.add(crash);
        }
        sendNext();
    }

    /** Reports that a quarantined part of prompts was answered completely. */
    public void addAnswered(ByteString part) {
        synchronized (this) {
            if (answeredParts.size() >= MAX_QUEUED) {
                Event.of("answered-part-dropped")
                        .with("part", Digests.hex(part.toByteArray()))
                        .warn(LOG);
                return;
            }
            answeredParts.add(part);
        }
        sendNext();
    }

    /** Returns whether some reports are not recorded yet. */
    public synchronized boolean hasUnrecorded() {
        return inFlight != null || !queued.isEmpty();
    }

    private void sendNext() {
        CrashEvidence evidence;
        synchronized (this) {
            if (inFlight != null || queued.isEmpty() && answeredParts.isEmpty()) {
                return;
            }
            sequence++;
            evidence = CrashEvidence.newBuilder()
                    .setReporter(incarnation)
                    .setSequence(sequence)
                    .addAllCrashes(queued)
                    .addAllAnsweredParts(answeredParts)
                    .build();
            queued.clear();
            answeredParts.clear();
            inFlight = evidence;
        }
        send(evidence);
    }

    private void resend() {
        CrashEvidence evidence;
        synchronized (this) {
            evidence = inFlight;
            if (called && System.nanoTime() - calledNanos < LOST_NANOS) {
                return;
            }
        }
        if (evidence != null) {
            send(evidence);
        }
    }

    private void send(CrashEvidence evidence) {
        synchronized (this) {
            called = true;
            calledNanos = System.nanoTime();
        }
        control.call(META_GROUP, Frame.newBuilder().setCrashEvidence(evidence), TIMEOUT)
                .whenComplete((reply, failure) -> {
                    synchronized (this) {
                        called = false;
                    }
                    if (reply != null && reply.hasHeartbeat()) {
                        onRecorded(evidence);
                    }
                });
    }

    private void onRecorded(CrashEvidence evidence) {
        synchronized (this) {
            if (inFlight == null || inFlight.getSequence() != evidence.getSequence()) {
                return;
            }
            inFlight = null;
        }
        Event.of("crashes-recorded")
                .with("sequence", evidence.getSequence())
                .with("crashes", evidence.getCrashesCount())
                .with("answered-parts", evidence.getAnsweredPartsCount())
                .info(LOG);
        sendNext();
    }
}
