package org.ragwortrun.agent.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.agent.AdmissionGate;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Endpoint;
import org.ragwortrun.core.config.Service;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.refusal.Refusal;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.net.Peer;
import org.ragwortrun.proto.Accepted;
import org.ragwortrun.proto.Attach;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.Dispatch;
import org.ragwortrun.proto.FenceConfirmed;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.LoadReport;
import org.ragwortrun.proto.RequestQuery;
import org.ragwortrun.proto.RequestState;
import org.ragwortrun.proto.Usage;

/** Owns the state of all requests of the agent. Every method runs on the request duty. */
public final class RequestDispatcher {
    /** Ways out of the duty. */
    record Ports(
            EndpointPort endpoint,
            UsageOutbox.ShardCalls shards,
            TaskRing duty,
            Runnable askHealth,
            Consumer<CrashReport> crashes,
            Runnable renewed) {}

    private static final Logger LOG = LogManager.getLogger(RequestDispatcher.class);

    private final AgentSettings settings;
    private final AgentIdentity identity;
    private final Time time;
    private final Metrics metrics;
    private final Supplier<Optional<Configuration>> latest;
    private final AdmissionGate gate;
    private final Ports ports;
    private final Map<RequestKey, RunningRequest> live = new HashMap<>();
    private final Map<RunningRequest, EndpointFeed> feeds = new HashMap<>();
    private final Readers readers = new Readers();
    private final FencedRouters fenced = new FencedRouters();
    private final Tombstones tombstones;
    private final SeenRequests seen;
    private final AnswerStore store;
    private final WaitingQueue queue;
    private final UsageOutbox outbox;
    private final RunTimes runTimes = new RunTimes();
    private final CrashLog crashLog = new CrashLog();
    private final AtomicLong totalUnsent = new AtomicLong();
    private final List<DispatchRule> identityRules;
    private final List<DispatchRule> capacityRules;
    private long arrivals;
    private long outputTokens;
    private boolean leaving;
    private boolean healthy;
    private long answeredAt;
    private AdmissionGate.@Nullable EndpointLoad engineLoad;

    RequestDispatcher(
            AgentSettings settings,
            AgentIdentity identity,
            Time time,
            Metrics metrics,
            Supplier<Optional<Configuration>> inForce,
            Supplier<Optional<Configuration>> latest,
            AdmissionGate gate,
            Ports ports) {
        this.settings = settings;
        this.identity = identity;
        this.time = time;
        this.metrics = metrics;
        this.latest = latest;
        this.gate = gate;
        this.ports = ports;
        AgentSettings.Limits limits = settings.limits();
        tombstones = new Tombstones(limits.tombstones());
        seen = new SeenRequests(limits.remembered());
        store = new AnswerStore(
                limits.storeBytes(), settings.timing().answerTime().toNanos());
        queue = new WaitingQueue(limits.queueLength(), limits.queueBytes());
        outbox = new UsageOutbox(identity.name(), settings.shards(), limits.outbox(), ports.shards());
        identityRules =
                List.of(new IncarnationRule(identity), new RouterFencedRule(fenced), new TombstoneRule(tombstones));
        capacityRules = List.of(
                new LeavingRule(() -> leaving),
                new LeaseRule(inForce, settings.endpoint()),
                new HealthyRule(() -> healthy),
                new BodySizeRule(limits.bodyBytes()),
                new OutboxRule(outbox),
                new MemoryRule(tombstones, seen),
                new AnswerMemoryRule(store, limits.storeBytes() + limits.totalUnsent()));
    }

    // ---- frames of routers ----

    void onDispatch(Peer peer, Frame frame) {
        Dispatch d = frame.getDispatch();
        RequestKey key = RequestKey.of(d.getBudget(), d.getRequestId());
        Optional<Refusal> refusal = firstRefusal(identityRules, d);
        if (refusal.isEmpty()) {
            RunningRequest known = find(key);
            if (known != null && !mayRunAgain(known, d)) {
                attachToKnown(peer, frame, known, d);
                return;
            }
            if (known == null && !d.getRepeatable() && seen.contains(key, d.getAttempt())) {
                refusal = Optional.of(answerExpired());
            }
        }
        if (refusal.isEmpty()) {
            refusal = firstRefusal(capacityRules, d);
        }
        if (refusal.isPresent()) {
            refuse(peer, frame, refusal.get());
        } else {
            accept(peer, frame, d, key);
        }
    }

    void onAttach(Peer peer, Frame frame) {
        Attach a = frame.getAttach();
        RequestKey key = RequestKey.of(a.getBudget(), a.getRequestId());
        RunningRequest known = find(key);
        if (known != null) {
            attach(peer, frame, known, a.getOffset(), a.getCredit());
        } else if (seen.containsAny(key)) {
            refuse(peer, frame, answerExpired());
        } else {
            refuse(
                    peer,
                    frame,
                    Refusal.unknown(
                            RefusalReason.OUTCOME_UNKNOWN, "the agent has not seen this request; ask for its state"));
        }
    }

    void onCredit(Peer peer, long call, long bytes) {
        AnswerSubscriber reader = readers.find(peer, call);
        if (reader != null) {
            reader.addCredit(bytes);
            pump(reader.request());
        }
    }

    void onCancel(Peer peer, long call, String reason) {
        AnswerSubscriber reader = readers.find(peer, call);
        if (reader == null) {
            return;
        }
        RunningRequest r = reader.request();
        boolean last = r.answerReaders().size() == 1;
        if (!last || r.isOver()) {
            readers.close(reader);
            pump(r);
        } else if (r.state() == RunningRequest.State.QUEUED) {
            queue.remove(r);
            refuseAccepted(r, Refusal.notRun(RefusalReason.TOMBSTONE, "cancelled before it ran"));
        } else if (!r.isText() && !r.dispatch().getRepeatable()) {
            // It cannot be taken back, and its outcome must become known.
            readers.close(reader);
        } else {
            reader.addCredit(Integer.MAX_VALUE);
            r.cancelCall();
            end(r, Ending.cancelled(r, reason));
        }
    }

    void onQuery(Peer peer, Frame frame) {
        RequestQuery q = frame.getRequestQuery();
        RequestKey key = RequestKey.of(q.getBudget(), q.getRequestId());
        RequestState.Builder state = RequestState.newBuilder().setAgentIncarnation(identity.incarnation());
        RunningRequest known = find(key);
        boolean bury = false;
        if (known != null && known.dispatch().getAttempt() == q.getAttempt()) {
            state.setState(
                    switch (known.state()) {
                        case QUEUED -> RequestState.State.QUEUED;
                        case RUNNING -> RequestState.State.RUNNING;
                        case FINISHED -> RequestState.State.FINISHED;
                        case REFUSED -> RequestState.State.REFUSED;
                    });
        } else if (seen.contains(key, q.getAttempt())) {
            state.setState(RequestState.State.ANSWER_DROPPED);
        } else {
            bury = q.getSetTombstone();
            state.setState(RequestState.State.NEVER_SEEN).setTombstone(bury);
        }
        peer.send(Frame.newBuilder()
                .setCall(frame.getCall())
                .setRequestState(state)
                .build());
        if (bury) {
            bury(key, q.getAttempt());
        }
    }

    /** Sets a tombstone. The query was answered in the name of the old incarnation, which a renewal closes. */
    private void bury(RequestKey key, int attempt) {
        if (tombstones.isFull() && !tombstones.contains(key, attempt)) {
            renewIncarnation("tombstones-full");
        }
        tombstones.add(key, attempt);
    }

    void onClosed(Peer peer) {
        for (AnswerSubscriber reader : readers.of(peer)) {
            readers.close(reader);
            pump(reader.request());
        }
    }

    // ---- frames of control members ----

    void onFence(Peer peer, Frame frame) {
        String incarnation = frame.getFenceRouter().getIncarnation();
        Event.of("router-fenced").with("incarnation", incarnation).info(LOG);
        fenced.fence(incarnation, new FencedRouters.Asker(peer, frame.getCall()));
        // What runs is finished and billed; what waits has not run and need not hold the fence up.
        queue.removeIf(r -> r.dispatch().getIncarnation().equals(incarnation))
                .forEach(r -> refuseAccepted(
                        r, Refusal.notRun(RefusalReason.ROUTER_FENCED, incarnation + " has been fenced")));
        confirmFences();
    }

    // ---- the endpoint ----

    void onHealth(boolean answers) {
        if (answers != healthy) {
            Event.of("endpoint-health").with("healthy", answers).info(LOG);
        }
        healthy = answers;
        long now = time.nanos();
        if (answers) {
            answeredAt = now;
        } else {
            if (now - answeredAt > settings.timing().deadAfter().toNanos()) {
                giveUpRunning();
            }
            crashLog.take().forEach(ports.crashes());
        }
        crashLog.clear();
        startWaiting();
    }

    void onLoad(AdmissionGate.EndpointLoad load) {
        engineLoad = load;
        gate.onLoad(load);
        startWaiting();
    }

    /** Ends what runs on an endpoint that is gone without a closed connection; others wait for their outcome. */
    private void giveUpRunning() {
        for (RunningRequest r : new ArrayList<>(live.values())) {
            if (r.state() == RunningRequest.State.RUNNING && r.dispatch().getRepeatable()) {
                r.cancelCall();
                onFailed(r, "the endpoint does not answer");
            }
        }
    }

    private void onEvents(RunningRequest r) {
        EndpointFeed feed = feeds.get(r);
        if (feed == null) {
            return;
        }
        for (EndpointEvent event : feed.take()) {
            if (r.state() != RunningRequest.State.RUNNING) {
                break;
            }
            onEvent(r, event);
        }
        pump(r);
    }

    private void onEvent(RunningRequest r, EndpointEvent event) {
        if (event instanceof EndpointEvent.Output output) {
            long before = r.meter().outputTokens();
            if (!r.output(output)) {
                r.cancelCall();
                end(r, Ending.whole(r));
            }
            outputTokens += r.meter().outputTokens() - before;
        } else if (event instanceof EndpointEvent.Head head) {
            r.head(head.status(), head.headers());
        } else if (event instanceof EndpointEvent.Sent) {
            r.bytesSent();
        } else if (event instanceof EndpointEvent.End) {
            end(r, Ending.whole(r));
        } else if (event instanceof EndpointEvent.Failed failed) {
            onFailed(r, failed.detail());
        }
    }

    private void onFailed(RunningRequest r, String detail) {
        Event.of("endpoint-failed")
                .with("request", r.key().id())
                .with("attempt", r.dispatch().getAttempt())
                .with("detail", detail)
                .info(LOG);
        if (r.mayHaveRun()) {
            List<Dispatch> running = live.values().stream()
                    .filter(o -> o.state() == RunningRequest.State.RUNNING)
                    .map(RunningRequest::dispatch)
                    .toList();
            crashLog.failed(r.dispatch(), settings.endpoint(), identity.incarnation(), running);
            end(r, Ending.broken(r));
        } else {
            refuseAccepted(
                    r,
                    Refusal.notRun(
                            RefusalReason.ENDPOINT_FAILED,
                            "the endpoint is not reachable: " + detail,
                            Duration.ofSeconds(1)));
        }
        if (healthy) {
            ports.askHealth().run();
        }
    }

    // ---- time ----

    void tick() {
        long now = time.nanos();
        queue.removeIf(r -> now - r.queuedUntilNanos() >= 0 || now - r.deadlineNanos() >= 0)
                .forEach(r -> refuseAccepted(r, full()));
        for (RunningRequest r : new ArrayList<>(live.values())) {
            if (r.state() == RunningRequest.State.RUNNING && now - r.deadlineNanos() >= 0) {
                r.cancelCall();
                end(r, Ending.timedOut(r));
            }
        }
        feeds.values().forEach(EndpointFeed::schedule);
        // Connections whose buffer was full, and streams that stopped for the bound of all streams together.
        readers.requests().forEach(this::pump);
        List.copyOf(feeds.keySet()).forEach(this::pump);
        startWaiting();
        store.evict(now);
        renewIfIdle();
        outbox.flush(now, (shard, sent, reply) -> ports.duty().offer(() -> onSettleReply(shard, sent, reply)));
        confirmFences();
    }

    void leave() {
        leaving = true;
        queue.removeIf(r -> true)
                .forEach(r -> refuseAccepted(
                        r, Refusal.notRun(RefusalReason.LEAVING, "the agent is stopping", Duration.ofSeconds(1))));
    }

    /** Returns whether nothing runs, all usage is acknowledged and every connected reader has its answer. */
    boolean isIdle() {
        return live.isEmpty() && outbox.isEmpty() && readers.isEmpty();
    }

    /** Returns the load without sequence and rate. */
    LoadReport.Builder load() {
        AdmissionGate.EndpointLoad e = engineLoad;
        int running = (int) live.values().stream()
                .filter(r -> r.state() == RunningRequest.State.RUNNING)
                .count();
        return LoadReport.newBuilder()
                .setEndpoint(settings.endpoint())
                .setAgentIncarnation(identity.incarnation())
                .setRunning(running)
                .setQueued(queue.size())
                .setKvTokensUsed(e == null ? gate.kvTokensHeld() : Math.max(e.kvUsedTokens(), gate.kvTokensHeld()))
                .setKvTokensCapacity(capacity().kvTokens())
                .setLeaving(leaving)
                .setHealthy(healthy);
    }

    long outputTokens() {
        return outputTokens;
    }

    long totalUnsent() {
        return totalUnsent.get();
    }

    long storeBytes() {
        return store.bytes();
    }

    int outboxSize() {
        return outbox.size();
    }

    // ---- admission ----

    private void accept(Peer peer, Frame frame, Dispatch d, RequestKey key) {
        long now = time.nanos();
        long run = d.getDeadlineMs() > 0
                ? Duration.ofMillis(d.getDeadlineMs()).toNanos()
                : settings.timing().maxRun().toNanos();
        RunningRequest r = new RunningRequest(
                d,
                client().isText(),
                arrivals++,
                now + run,
                now + settings.timing().queueWait().toNanos());
        boolean tooLong = runTimes.waitBehind(queue.position(r), capacity().slots())
                        .compareTo(settings.timing().queueWait())
                > 0;
        if (tooLong || !queue.hasRoomFor(r) && !displace(r)) {
            refuse(peer, frame, full());
            return;
        }
        store.remove(key);
        live.put(key, r);
        queue.add(r);
        readers.open(peer, frame.getCall(), r, r.answer().end(), d.getCredit());
        int position = queue.position(r);
        peer.send(Frame.newBuilder()
                .setCall(frame.getCall())
                .setAccepted(accepted().setQueued(canStart(r, position) ? 0 : position + 1))
                .build());
        startWaiting();
    }

    /** Makes room for a request by refusing one that waits with a worse priority. */
    private boolean displace(RunningRequest r) {
        Optional<RunningRequest> worse = queue.worseThan(r);
        worse.ifPresent(w -> {
            queue.remove(w);
            refuseAccepted(w, full());
        });
        return worse.isPresent() && queue.hasRoomFor(r);
    }

    private boolean canStart(RunningRequest r, int position) {
        return position == 0 && running() < capacity().slots() && !r.isOver();
    }

    private int running() {
        return feeds.size();
    }

    private void startWaiting() {
        while (true) {
            RunningRequest r = queue.first();
            if (r == null || !healthy) {
                return;
            }
            Dispatch d = r.dispatch();
            AdmissionGate.Demand demand = new AdmissionGate.Demand(
                    d.getRoute(), Math.max(0, d.getReserved() - d.getMaxOutput()), d.getMaxOutput());
            AdmissionGate.Decision decision = gate.admit(demand, capacity());
            if (decision instanceof AdmissionGate.Decision.Admitted admitted) {
                queue.remove(r);
                start(r, admitted.place());
            } else if (decision instanceof AdmissionGate.Decision.TooLarge) {
                queue.remove(r);
                refuseAccepted(
                        r,
                        Refusal.notRun(
                                RefusalReason.REQUEST_TOO_LARGE,
                                "the request does not fit into the endpoint's memory"));
            } else {
                return;
            }
        }
    }

    private void start(RunningRequest r, AdmissionGate.Place place) {
        seen.add(r.key(), r.dispatch().getAttempt());
        EndpointFeed.Bounds bounds = new EndpointFeed.Bounds(
                settings.limits().streamUnsent(), settings.limits().totalUnsent(), totalUnsent);
        EndpointFeed feed = new EndpointFeed(ports.duty(), () -> onEvents(r), bounds);
        feeds.put(r, feed);
        r.start(place, client().start(r.dispatch(), feed), time.nanos());
    }

    // ---- answers ----

    /** Sends what the readers may receive, and reads on from the endpoint where there is room again. */
    private void pump(RunningRequest r) {
        for (AnswerSubscriber reader : List.copyOf(r.answerReaders())) {
            reader.pump();
            if (reader.isClosed()) {
                readers.close(reader);
            }
        }
        int limit = settings.limits().answerBytes();
        if (r.answer().kept() > limit) {
            r.answer().dropBefore(Math.min(r.delivered(), r.answer().end() - limit / 2));
        }
        EndpointFeed feed = feeds.get(r);
        if (feed != null) {
            feed.unsent(r.unsent());
            if (feed.hasRoom()) {
                r.readMore();
            }
        }
    }

    private void attachToKnown(Peer peer, Frame frame, RunningRequest known, Dispatch d) {
        if (!known.dispatch().getDigest().equals(d.getDigest())) {
            refuse(peer, frame, Refusal.notRun(RefusalReason.ID_REUSED, "the id was used with other content"));
            return;
        }
        long offset = known.isText() ? d.getResumeTextBytes().size() : 0;
        attach(peer, frame, known, offset, d.getCredit());
    }

    private void attach(Peer peer, Frame frame, RunningRequest r, long offset, long credit) {
        if (r.state() == RunningRequest.State.REFUSED) {
            peer.send(Frame.newBuilder()
                    .setCall(frame.getCall())
                    .setRefused(r.refusal())
                    .build());
            return;
        }
        if (offset < r.answer().floor()) {
            refuse(peer, frame, answerExpired());
            return;
        }
        peer.send(Frame.newBuilder()
                .setCall(frame.getCall())
                .setAccepted(accepted())
                .build());
        readers.open(peer, frame.getCall(), r, Math.min(offset, r.answer().end()), credit);
        pump(r);
    }

    /** Tells whether a dispatch may run although the agent knows an earlier one of the same request. */
    private static boolean mayRunAgain(RunningRequest known, Dispatch d) {
        boolean failed = known.isFinished() && !known.finished().getFailure().isEmpty();
        return known.state() == RunningRequest.State.REFUSED || failed && d.getRepeatable();
    }

    private void end(RunningRequest r, Ending ending) {
        Dispatch d = r.dispatch();
        Usage.Builder usage = Usage.newBuilder()
                .setBudget(d.getBudget())
                .setRequestId(d.getRequestId())
                .setGrantId(d.getGrantId())
                .setIncarnation(d.getIncarnation())
                .setTokens(ending.tokens())
                .setPromptTokens(r.isText() ? r.meter().promptTokens() : 0)
                .setOutputTokens(r.isText() ? r.meter().outputTokens() : 0)
                .setEndpoint(settings.endpoint())
                .setVersion(version())
                .setRoute(d.getRoute())
                .setStatus(r.status())
                .setClaimed(d.getClaimed());
        r.finish(ending.failure(), ending.run(), usage.build());
        if (ending.settles()) {
            outbox.add(r.key(), r.withAnswer(usage).build());
        }
        runTimes.ran(time.nanos() - r.startedNanos());
        metrics.count(ending.failure().isEmpty() ? "agent_requests_finished" : "agent_requests_failed", 1);
        retire(r);
    }

    private void refuseAccepted(RunningRequest r, Refusal refusal) {
        metrics.refused(refusal.reason());
        r.refuse(refusal);
        List.copyOf(r.answerReaders()).forEach(readers::close);
        retire(r);
    }

    private void retire(RunningRequest r) {
        live.remove(r.key());
        EndpointFeed feed = feeds.remove(r);
        if (feed != null) {
            feed.unsent(0);
        }
        pump(r);
        store.add(r, time.nanos());
        startWaiting();
    }

    // ---- usage and fences ----

    private void onSettleReply(int shard, List<Usage> sent, Frame reply) {
        outbox.onReply(shard, sent, reply, time.nanos());
        confirmFences();
    }

    private void confirmFences() {
        for (String incarnation : fenced.owed()) {
            boolean working = live.values().stream()
                    .anyMatch(r -> r.dispatch().getIncarnation().equals(incarnation));
            if (!working && !outbox.holdsFor(incarnation)) {
                FenceConfirmed confirmed = FenceConfirmed.newBuilder()
                        .setIncarnation(incarnation)
                        .setAgent(identity.name())
                        .setAgentIncarnation(identity.incarnation())
                        .build();
                // If a confirmation is lost, control asks again and gets it at once.
                fenced.confirm(incarnation)
                        .forEach(a -> a.peer()
                                .send(Frame.newBuilder()
                                        .setCall(a.call())
                                        .setFenceConfirmed(confirmed)
                                        .build()));
            }
        }
    }

    private void renewIncarnation(String cause) {
        identity.renew(cause);
        tombstones.clear();
        seen.clear();
        ports.renewed().run();
    }

    /** Renews while nothing would be cut off, long before it would have to. */
    private void renewIfIdle() {
        boolean due = tombstones.isFilling() || seen.isFilling();
        if (due && live.isEmpty() && readers.isEmpty()) {
            renewIncarnation("memory-filling");
        }
    }

    // ---- helpers ----

    private @Nullable RunningRequest find(RequestKey key) {
        RunningRequest r = live.get(key);
        return r != null ? r : store.get(key).orElse(null);
    }

    private Optional<Refusal> firstRefusal(List<DispatchRule> rules, Dispatch d) {
        return rules.stream()
                .map(rule -> rule.check(d))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private void refuse(Peer peer, Frame frame, Refusal refusal) {
        metrics.refused(refusal.reason());
        peer.send(Frame.newBuilder()
                .setCall(frame.getCall())
                .setRefused(Refusals.toWire(refusal))
                .build());
    }

    private Refusal full() {
        return Refusal.notRun(
                RefusalReason.ENDPOINT_FULL,
                "the endpoint has no room for the request",
                runTimes.retryAfter(queue.size(), capacity().slots()));
    }

    private static Refusal answerExpired() {
        return Refusal.ran(RefusalReason.ANSWER_EXPIRED, "the request ran but its answer is no longer kept");
    }

    private Accepted.Builder accepted() {
        return Accepted.newBuilder().setAgentIncarnation(identity.incarnation());
    }

    private Optional<Endpoint> facts() {
        return latest.get().flatMap(c -> c.endpoint(settings.endpoint()));
    }

    private AdmissionGate.Capacity capacity() {
        return facts().map(e -> new AdmissionGate.Capacity(e.slots(), e.kvCapacity()))
                .orElseGet(() -> new AdmissionGate.Capacity(1, 0));
    }

    private String version() {
        return facts().map(Endpoint::version).orElse("");
    }

    private EndpointClient client() {
        Optional<Endpoint> endpoint = facts();
        Service.Kind kind = endpoint.flatMap(
                        e -> latest.get().flatMap(c -> c.service(e.service())).map(Service::kind))
                .orElse(Service.Kind.PLAIN);
        return ports.endpoint()
                .client(kind, endpoint.map(Endpoint::dedupeHeader).orElse(""));
    }
}
