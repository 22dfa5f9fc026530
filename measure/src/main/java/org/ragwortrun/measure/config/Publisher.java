package org.ragwortrun.measure.config;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.net.control.ControlClient;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Publish;
import org.ragwortrun.proto.PublishReply;
import org.ragwortrun.proto.Section;

/**
 * Publishes a configuration with one more route about every half second, and now and then removes old ones. Each
 * configuration has a further route and a key that no other one has, and moves a route to another origin.
 */
final class Publisher {
    private static final int META_GROUP = 0;
    private static final String HOST = "127.0.0.1";
    private static final String ORIGIN = "o";
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(900);
    private static final long RETRY_MS = 20;
    private static final int LEAST_PAUSE_MS = 250;
    private static final int MOST_PAUSE_MS = 750;
    // A route is not removed while a request for it may wait at a suspended router.
    private static final int LEAST_ROUTES = 32;

    private final ControlClient control;
    private final ChangeLog changes;
    private final UniformRandomProvider random;
    private final DisturbanceLog log;
    private final Deque<Integer> routes = new ArrayDeque<>();
    private int number;

    Publisher(ControlClient control, ChangeLog changes, UniformRandomProvider random, DisturbanceLog log) {
        this.control = control;
        this.changes = changes;
        this.random = random;
        this.log = log;
    }

    /** Publishes changes until a time. */
    void publishUntil(long endNanos) throws InterruptedException {
        while (System.nanoTime() - endNanos < 0) {
            publishNext(endNanos);
            TimeUnit.MILLISECONDS.sleep(random.nextInt(LEAST_PAUSE_MS, MOST_PAUSE_MS));
        }
    }

    /** Publishes one change, again and again until it is acknowledged. */
    void publishNext(long endNanos) throws InterruptedException {
        number++;
        routes.add(number);
        if (routes.size() > LEAST_ROUTES + 2 && random.nextInt(3) == 0) {
            routes.remove();
            routes.remove();
        }
        Publish publish = configuration();
        changes.onSent(number);
        while (!isAccepted(publish)) {
            if (System.nanoTime() - endNanos >= 0) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_MS);
        }
        changes.add(new Change(number, System.nanoTime()));
        log.note("acknowledged " + number + " by=" + control.leader(META_GROUP).orElse(""));
    }

    private boolean isAccepted(Publish publish) throws InterruptedException {
        try {
            PublishReply reply = control.call(META_GROUP, Frame.newBuilder().setPublish(publish), CALL_TIMEOUT)
                    .get()
                    .getPublishReply();
            if (reply.getOutcome() == PublishReply.Outcome.INVALID) {
                throw new IllegalStateException("the configuration is invalid: " + reply.getErrorsList());
            }
            return reply.getOutcome() == PublishReply.Outcome.ACCEPTED;
        } catch (ExecutionException e) {
            // No leader was found, or its answer was lost. The change is sent again.
            return false;
        }
    }

    private Publish configuration() {
        Publish.Builder publish = Publish.newBuilder().setGeneration(number).setOperator("measure");
        publish.addSections(Section.newBuilder().setKind("origin").setName(ORIGIN));
        routes.forEach(r -> publish.addSections(route("route-" + r, ChangeLog.path(r))));
        publish.addSections(route("only-" + number, ChangeLog.onlyPath(number)));
        publish.addSections(route("moved", ChangeLog.MOVED_PATH).putProperties("to", OriginServers.origin(number)));
        publish.addSections(route("key", ChangeLog.KEY_PATH).putProperties("open", "no"));
        publish.addSections(Section.newBuilder()
                .setKind("account")
                .setName("a")
                .putProperties("keys", Digests.apiKey(ChangeLog.onlyKey(number)))
                .putProperties("metered", "no"));
        for (int i = 0; i < OriginServers.COUNT; i++) {
            publish.addSections(Section.newBuilder().setKind("origin").setName(OriginServers.origin(i)));
        }
        return publish.build();
    }

    private static Section.Builder route(String name, String path) {
        return Section.newBuilder()
                .setKind("forward")
                .setName(name)
                .putProperties("host", HOST)
                .putProperties("path", path)
                .putProperties("kind", "idempotent")
                .putProperties("to", ORIGIN)
                .putProperties("timeout", "1500ms")
                .putProperties("attempts", "1")
                .putProperties("open", "yes");
    }
}
