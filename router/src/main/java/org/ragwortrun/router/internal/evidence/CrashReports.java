package org.ragwortrun.router.internal.evidence;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.CrashEvidence;
import org.ragwortrun.proto.EndpointCrash;
import org.ragwortrun.proto.Frame;

/**
 * Sends crashes of endpoints to the meta leader, each until it is recorded.
 *
 * <p>One message is on its way at a time and is sent again under its number, so that the leader counts each crash once.
 * Crashes that are seen meanwhile go together in the next one.
 */
public final class CrashReports {
    private static final Logger LOG = LogManager.getLogger(CrashReports.class);
    private static final int META_GROUP = 0;
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final long RETRY_MS = 200;
    private static final int MOST_WAITING = 256;

    private final ControlClient control;
    private final ScheduledExecutorService timer;
    private final String incarnation;
    private final Deque<EndpointCrash> waiting = new ArrayDeque<>();
    private @Nullable CrashEvidence underWay;
    private long sequence;

    /**
     * Creates reports.
     *
     * @param incarnation incarnation of the router, under which messages are numbered
     */
    public CrashReports(ControlClient control, ScheduledExecutorService timer, String incarnation) {
        this.control = control;
        this.timer = timer;
        this.incarnation = incarnation;
    }

    /** Reports a crash with the digests of the contents that are suspected of it. */
    public void add(String endpoint, List<ByteString> digests) {
        synchronized (this) {
            if (waiting.size() >= MOST_WAITING) {
                EndpointCrash dropped = waiting.remove();
                Event.of("crash-report-dropped")
                        .with("endpoint", dropped.getEndpoint())
                        .warn(LOG);
            }
            waiting.add(EndpointCrash.newBuilder()
                    .setEndpoint(endpoint)
                    .addAllDigests(digests)
                    .build());
        }
        next();
    }

    private void next() {
        CrashEvidence evidence;
        synchronized (this) {
            if (underWay != null || waiting.isEmpty()) {
                return;
            }
            sequence++;
            evidence = CrashEvidence.newBuilder()
                    .setReporter(incarnation)
                    .setSequence(sequence)
                    .addAllCrashes(waiting)
                    .build();
            waiting.clear();
            underWay = evidence;
        }
        send(evidence);
    }

    private void send(CrashEvidence evidence) {
        control.call(META_GROUP, Frame.newBuilder().setCrashEvidence(evidence), TIMEOUT)
                .whenComplete((reply, failure) -> {
                    if (reply != null && reply.hasHeartbeat()) {
                        recorded(evidence);
                    } else {
                        timer.schedule(() -> send(evidence), RETRY_MS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    private void recorded(CrashEvidence evidence) {
        Event.of("crashes-recorded")
                .with("sequence", evidence.getSequence())
                .with("crashes", evidence.getCrashesCount())
                .info(LOG);
        synchronized (this) {
            underWay = null;
        }
        next();
    }
}
