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

/** Holds the state of all requests of the agent. All methods but {@link #totalUnsent} run on the request thread. */
public final class RequestDispatcher {
    /** Clients and callbacks through which the dispatcher reaches other components. */
    record Ports(
            EndpointClientFactory clients,
            UsageOutbox.ShardClient shards,
            TaskQueue executor,
            Runnable healthCheck,
            Consumer<CrashReport> crashReporter,
            Runnable onIncarnationRenewed,
            EndpointLimitGate limit) {}

    private static final Logger LOG = LogManager.getLogger(RequestDispatcher.class);

    private final AgentSettings settings;
    private final AgentIdentity identity;
    private final Time time;
    private final Metrics metrics;
    private final Supplier<Optional<Configuration>> latest;
    private final AdmissionGate gate;
    private final Ports ports;
    private final Map<RequestKey, AcceptedRequest> active = new HashMap<>();
    private final Map<AcceptedRequest, EndpointEventQueue> eventQueues = new HashMap<>();
    private final AnswerSubscribers subscribers = new AnswerSubscribers();
    private final FencedRouters fenced = new FencedRouters();
    private final Tombstones tombstones;
    private final SeenRequests seen;
    private final AnswerStore store;
    private final WaitingQueue queue;
    private final UsageOutbox outbox;
    private final WaitEstimator waitEstimator = new WaitEstimator();
    private final PendingCrashReports pendingCrashReports = new PendingCrashReports();
    private final AtomicLong totalUnsent = new AtomicLong();
    private final EvacuationRule evacuation;
    private final List<DispatchRule> identityRules;
    private final List<DispatchRule> capacityRules;
    private long arrivals;
    private long outputTokens;
    private boolean leaving;
    private boolean healthy;
    private long lastHealthyNanos;
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
        evacuation = new EvacuationRule(latest, settings.endpoint());
        capacityRules = List.of(
                new LeavingRule(() -> leaving),
                new LeaseRule(inForce, settings.endpoint()),
                evacuation,
                new HealthyRule(() -> healthy),
                new BodySizeRule(limits.bodyBytes()),
                new OutboxRule(outbox),
                new RequestHistoryRule(tombstones, seen),
                new AnswerMemoryRule(store, limits.storeBytes() + limits.totalUnsent()),
                new EndpointLimitRule(ports.limit(), queue::size));
    }

    // ---- frames of routers ----

    void onDispatch(Peer peer, Frame frame) {
        Dispatch d = frame.getDispatch();
        RequestKey key = RequestKey.of(d.getBudget(), d.getRequestId());
        Optional<Refusal> refusal = firstRefusal(identityRules, d);
        if (refusal.isEmpty()) {
            AcceptedRequest known = find(key);
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
        AcceptedRequest known = find(key);
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
        AnswerSubscriber subscriber = subscribers.find(peer, call);
        if (subscriber != null) {
            subscriber.addCredit(bytes);
            pump(subscriber.request());
        }
    }

    void onCancel(Peer peer, long call, String reason) {
        AnswerSubscriber subscriber = subscribers.find(peer, call);
        if (subscriber == null) {
            return;
        }
        AcceptedRequest r = subscriber.request();
        boolean lastSubscriber = r.subscribers().size() == 1;
        if (!lastSubscriber || r.isEnded()) {
            subscribers.close(subscriber);
            pump(r);
        } else if (r.state() == AcceptedRequest.State.QUEUED) {
            queue.remove(r);
            refuseAccepted(r, Refusal.notRun(RefusalReason.TOMBSTONE, "cancelled before it ran"));
        } else if (!r.isText() && !r.dispatch().getRepeatable()) {
            // The request cannot be undone, so it continues until its outcome is known.
            subscribers.close(subscriber);
        } else {
            subscriber.addCredit(Integer.MAX_VALUE);
            r.cancelCall();
            end(r, RequestOutcome.cancelled(r, reason));
        }
    }

    void onQuery(Peer peer, Frame frame) {
        RequestQuery q = frame.getRequestQuery();
        RequestKey key = RequestKey.of(q.getBudget(), q.getRequestId());
        RequestState.Builder state = RequestState.newBuilder().setAgentIncarnation(identity.incarnation());
        AcceptedRequest known = find(key);
        boolean tombstone = false;
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
            tombstone = q.getSetTombstone();
            state.setState(RequestState.State.NEVER_SEEN).setTombstone(tombstone);
        }
        peer.send(Frame.newBuilder()
                .setCall(frame.getCall())
                .setRequestState(state)
                .build());
        if (tombstone) {
            setTombstone(key, q.getAttempt());
        }
    }

    /**
     * Sets a tombstone, in a new incarnation if the set is full.
     *
     * <p>The answer to the query names the old incarnation, whose dispatches are all refused after the renewal.
     */
    private void setTombstone(RequestKey key, int attempt) {
        if (tombstones.isFull() && !tombstones.contains(key, attempt)) {
            renewIncarnation("tombstones-full");
        }
        tombstones.add(key, attempt);
    }

    void onClosed(Peer peer) {
        for (AnswerSubscriber subscriber : subscribers.ofPeer(peer)) {
            subscribers.close(subscriber);
            pump(subscriber.request());
        }
    }

    // ---- frames of control members ----

    void onFence(Peer peer, Frame frame) {
        String incarnation = frame.getFenceRouter().getIncarnation();
        Event.of("router-fenced").with("incarnation", incarnation).info(LOG);
        fenced.fence(incarnation, new FencedRouters.Requester(peer, frame.getCall()));
        // Running requests are finished and billed. Queued ones have not run, so they need not delay the fence.
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
            lastHealthyNanos = now;
        } else {
            if (now - lastHealthyNanos > settings.timing().deadAfter().toNanos()) {
                failRepeatableRequests();
            }
            pendingCrashReports.takeReports().forEach(ports.crashReporter());
        }
        pendingCrashReports.clear();
        startQueued();
    }

    void onLoad(AdmissionGate.EndpointLoad load) {
        engineLoad = load;
        gate.onLoad(load);
        startQueued();
    }

    /**
     * Fails running repeatable requests on an endpoint that stopped answering without closing its connections.
     *
     * <p>Requests that are not repeatable keep waiting for their outcome.
     */
    private void failRepeatableRequests() {
        for (AcceptedRequest r : new ArrayList<>(active.values())) {
            if (r.state() == AcceptedRequest.State.RUNNING && r.dispatch().getRepeatable()) {
                r.cancelCall();
                onFailed(r, "the endpoint does not answer");
            }
        }
    }

    private void onEvents(AcceptedRequest r) {
        EndpointEventQueue eventQueue = eventQueues.get(r);
        if (eventQueue == null) {
            return;
        }
        for (EndpointEvent event : eventQueue.takeAll()) {
            if (r.state() != AcceptedRequest.State.RUNNING) {
                break;
            }
            onEvent(r, event);
        }
        pump(r);
    }

    private void onEvent(AcceptedRequest r, EndpointEvent event) {
        if (event instanceof EndpointEvent.Output output) {
            long before = r.meter().outputTokens();
            if (!r.addOutput(output)) {
                r.cancelCall();
                end(r, RequestOutcome.completed(r));
            }
            outputTokens += r.meter().outputTokens() - before;
        } else if (event instanceof EndpointEvent.Head head) {
            r.setHead(head.status(), head.headers());
        } else if (event instanceof EndpointEvent.Sent) {
            r.markSent();
        } else if (event instanceof EndpointEvent.End) {
            end(r, RequestOutcome.completed(r));
        } else if (event instanceof EndpointEvent.Failed failed) {
            onFailed(r, failed.detail());
        }
    }

    private void onFailed(AcceptedRequest r, String detail) {
        Event.of("endpoint-failed")
                .with("request", r.key().id())
                .with("attempt", r.dispatch().getAttempt())
                .with("detail", detail)
                .info(LOG);
        if (r.mayHaveRun()) {
            List<AcceptedRequest> running = active.values().stream()
                    .filter(o -> o.state() == AcceptedRequest.State.RUNNING)
                    .toList();
            pendingCrashReports.recordFailure(r, settings.endpoint(), identity.incarnation(), running);
            end(r, RequestOutcome.endpointFailed(r));
        } else {
            refuseAccepted(
                    r,
                    Refusal.notRun(
                            RefusalReason.ENDPOINT_FAILED,
                            "the endpoint is not reachable: " + detail,
                            Duration.ofSeconds(1)));
        }
        if (healthy) {
            ports.healthCheck().run();
        }
    }

    // ---- time ----

    void tick() {
        long now = time.nanos();
        queue.removeIf(r -> now - r.queueDeadlineNanos() >= 0 || now - r.deadlineNanos() >= 0)
                .forEach(r -> refuseAccepted(r, endpointFull()));
        for (AcceptedRequest r : new ArrayList<>(active.values())) {
            if (r.state() == AcceptedRequest.State.RUNNING && now - r.deadlineNanos() >= 0) {
                r.cancelCall();
                end(r, RequestOutcome.timedOut(r));
            }
        }
        eventQueues.values().forEach(EndpointEventQueue::schedule);
        // Resumes connections whose buffer was full and streams paused by the limit on all unsent bytes.
        subscribers.requests().forEach(this::pump);
        List.copyOf(eventQueues.keySet()).forEach(this::pump);
        startQueued();
        store.evict(now);
        renewIfIdle();
        outbox.flush(now, (shard, sent, reply) -> ports.executor().offer(() -> onSettleReply(shard, sent, reply)));
        confirmFences();
    }

    void stopAccepting() {
        leaving = true;
        queue.removeIf(r -> true)
                .forEach(r -> refuseAccepted(
                        r, Refusal.notRun(RefusalReason.LEAVING, "the agent is stopping", Duration.ofSeconds(1))));
    }

    /** Returns whether no request is active, all usage is acknowledged and every connected subscriber has its answer. */
    boolean isIdle() {
        return active.isEmpty() && outbox.isEmpty() && subscribers.isEmpty();
    }

    /** Returns the load without sequence number and token rate. */
    LoadReport.Builder load() {
        AdmissionGate.EndpointLoad e = engineLoad;
        int running = (int) active.values().stream()
                .filter(r -> r.state() == AcceptedRequest.State.RUNNING)
                .count();
        return LoadReport.newBuilder()
                .setEndpoint(settings.endpoint())
                .setAgentIncarnation(identity.incarnation())
                .setRunning(running)
                .setQueued(queue.size())
                .setKvTokensUsed(
                        e == null ? gate.reservedKvTokens() : Math.max(e.kvUsedTokens(), gate.reservedKvTokens()))
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
        AcceptedRequest r = new AcceptedRequest(
                d,
                client().isText(),
                arrivals++,
                now + run,
                now + settings.timing().queueWait().toNanos());
        boolean tooLong = waitEstimator
                        .estimateWait(queue.position(r), capacity().slots())
                        .compareTo(settings.timing().queueWait())
                > 0;
        if (tooLong || !queue.hasRoomFor(r) && !displace(r)) {
            refuse(peer, frame, endpointFull());
            return;
        }
        store.remove(key);
        active.put(key, r);
        queue.add(r);
        subscribers.open(peer, frame.getCall(), r, r.answer().endOffset(), d.getCredit());
        int position = queue.position(r);
        peer.send(Frame.newBuilder()
                .setCall(frame.getCall())
                .setAccepted(accepted().setQueued(canStart(r, position) ? 0 : position + 1))
                .build());
        startQueued();
    }

    /** Makes room for a request by refusing a queued one of lower priority. */
    private boolean displace(AcceptedRequest r) {
        Optional<AcceptedRequest> worse = queue.findDisplaceable(r);
        worse.ifPresent(w -> {
            queue.remove(w);
            refuseAccepted(w, endpointFull());
        });
        return worse.isPresent() && queue.hasRoomFor(r);
    }

    private boolean canStart(AcceptedRequest r, int position) {
        return position == 0 && running() < capacity().slots() && !r.isEnded();
    }

    private int running() {
        return eventQueues.size();
    }

    private void startQueued() {
        evacuation.refusal().ifPresent(refusal -> queue.removeIf(r -> true).forEach(r -> refuseAccepted(r, refusal)));
        while (true) {
            AcceptedRequest r = queue.first();
            if (r == null || !healthy || !ports.limit().hasPermitBehind(0)) {
                return;
            }
            Dispatch d = r.dispatch();
            AdmissionGate.Demand demand = new AdmissionGate.Demand(
                    d.getRoute(), Math.max(0, d.getReserved() - d.getMaxOutput()), d.getMaxOutput());
            AdmissionGate.Decision decision = gate.admit(demand, capacity());
            if (decision instanceof AdmissionGate.Decision.Admitted admitted) {
                queue.remove(r);
                ports.limit().take();
                start(r, admitted.permit());
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

    private void start(AcceptedRequest r, AdmissionGate.Permit permit) {
        seen.add(r.key(), r.dispatch().getAttempt());
        EndpointEventQueue.Bounds bounds = new EndpointEventQueue.Bounds(
                settings.limits().streamUnsent(), settings.limits().totalUnsent(), totalUnsent);
        EndpointEventQueue eventQueue = new EndpointEventQueue(ports.executor(), () -> onEvents(r), bounds);
        eventQueues.put(r, eventQueue);
        r.start(permit, client().start(r.dispatch(), eventQueue), time.nanos());
    }

    // ---- answers ----

    /** Sends what the subscribers may receive, and resumes reading from the endpoint if there is room again. */
    private void pump(AcceptedRequest r) {
        for (AnswerSubscriber subscriber : List.copyOf(r.subscribers())) {
            subscriber.pump();
            if (subscriber.isClosed()) {
                subscribers.close(subscriber);
            }
        }
        int limit = settings.limits().answerBytes();
        if (r.answer().length() > limit) {
            r.answer().dropBefore(Math.min(r.deliveredOffset(), r.answer().endOffset() - limit / 2));
        }
        EndpointEventQueue eventQueue = eventQueues.get(r);
        if (eventQueue != null) {
            eventQueue.setUnsent(r.unsentBytes());
            if (eventQueue.hasRoom()) {
                r.readMore();
            }
        }
    }

    private void attachToKnown(Peer peer, Frame frame, AcceptedRequest known, Dispatch d) {
        if (!known.dispatch().getDigest().equals(d.getDigest())) {
            refuse(peer, frame, Refusal.notRun(RefusalReason.ID_REUSED, "the id was used with other content"));
            return;
        }
        long offset = known.isText() ? d.getResumeTextBytes().size() : 0;
        attach(peer, frame, known, offset, d.getCredit());
    }

    private void attach(Peer peer, Frame frame, AcceptedRequest r, long offset, long credit) {
        if (r.state() == AcceptedRequest.State.REFUSED) {
            peer.send(Frame.newBuilder()
                    .setCall(frame.getCall())
                    .setRefused(r.refusal())
                    .build());
            return;
        }
        if (offset < r.answer().startOffset()) {
            refuse(peer, frame, answerExpired());
            return;
        }
        peer.send(Frame.newBuilder()
                .setCall(frame.getCall())
                .setAccepted(accepted())
                .build());
        subscribers.open(peer, frame.getCall(), r, Math.min(offset, r.answer().endOffset()), credit);
        pump(r);
    }

    /** Returns whether a dispatch may run although the agent has an earlier attempt of the same request. */
    private static boolean mayRunAgain(AcceptedRequest known, Dispatch d) {
        boolean failed = known.isFinished() && !known.finished().getFailure().isEmpty();
        return known.state() == AcceptedRequest.State.REFUSED || failed && d.getRepeatable();
    }

    private void end(AcceptedRequest r, RequestOutcome outcome) {
        Dispatch d = r.dispatch();
        Usage.Builder usage = Usage.newBuilder()
                .setBudget(d.getBudget())
                .setRequestId(d.getRequestId())
                .setGrantId(d.getGrantId())
                .setIncarnation(d.getIncarnation())
                .setTokens(outcome.tokens())
                .setPromptTokens(r.isText() ? r.meter().promptTokens() : 0)
                .setOutputTokens(r.isText() ? r.meter().outputTokens() : 0)
                .setEndpoint(settings.endpoint())
                .setVersion(version())
                .setRoute(d.getRoute())
                .setStatus(r.status())
                .setClaimed(d.getClaimed());
        r.finish(outcome.failure(), outcome.run(), usage.build());
        if (outcome.reportsUsage()) {
            outbox.add(r.key(), r.withAnswer(usage).build());
        }
        waitEstimator.recordRunTime(time.nanos() - r.startedNanos());
        metrics.count(outcome.failure().isEmpty() ? "agent_requests_finished" : "agent_requests_failed", 1);
        retire(r);
    }

    private void refuseAccepted(AcceptedRequest r, Refusal refusal) {
        metrics.refused(refusal.reason());
        r.refuse(refusal);
        List.copyOf(r.subscribers()).forEach(subscribers::close);
        retire(r);
    }

    private void retire(AcceptedRequest r) {
        active.remove(r.key());
        EndpointEventQueue eventQueue = eventQueues.remove(r);
        if (eventQueue != null) {
            eventQueue.setUnsent(0);
        }
        pump(r);
        store.add(r, time.nanos());
        startQueued();
    }

    // ---- usage and fences ----

    private void onSettleReply(int shard, List<Usage> sent, Frame reply) {
        outbox.onReply(shard, sent, reply, time.nanos());
        confirmFences();
    }

    private void confirmFences() {
        for (String incarnation : fenced.unconfirmed()) {
            boolean hasActive = active.values().stream()
                    .anyMatch(r -> r.dispatch().getIncarnation().equals(incarnation));
            if (!hasActive && !outbox.hasUsageOf(incarnation)) {
                FenceConfirmed confirmed = FenceConfirmed.newBuilder()
                        .setIncarnation(incarnation)
                        .setAgent(identity.name())
                        .setAgentIncarnation(identity.incarnation())
                        .build();
                // If a confirmation is lost, control fences again and gets it immediately.
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
        ports.onIncarnationRenewed().run();
    }

    /** Renews the incarnation early, while no request or connection would be interrupted. */
    private void renewIfIdle() {
        boolean due = tombstones.isHalfFull() || seen.isHalfFull();
        if (due && active.isEmpty() && subscribers.isEmpty()) {
            renewIncarnation("memory-filling");
        }
    }

    // ---- helpers ----

    private @Nullable AcceptedRequest find(RequestKey key) {
        AcceptedRequest r = active.get(key);
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

    private Refusal endpointFull() {
        return Refusal.notRun(
                RefusalReason.ENDPOINT_FULL,
                "the endpoint has no room for the request",
                waitEstimator.retryAfter(queue.size(), capacity().slots()));
    }

    private static Refusal answerExpired() {
        return Refusal.ran(RefusalReason.ANSWER_EXPIRED, "the request ran but its answer is no longer kept");
    }

    private Accepted.Builder accepted() {
        return Accepted.newBuilder().setAgentIncarnation(identity.incarnation());
    }

    private Optional<Endpoint> configuredEndpoint() {
        return latest.get().flatMap(c -> c.endpoint(settings.endpoint()));
    }

    private AdmissionGate.Capacity capacity() {
        return configuredEndpoint()
                .map(e -> new AdmissionGate.Capacity(e.slots(), e.kvCapacity()))
                .orElseGet(() -> new AdmissionGate.Capacity(1, 0));
    }

    private String version() {
        return configuredEndpoint().map(Endpoint::version).orElse("");
    }

    private EndpointClient client() {
        Optional<Endpoint> endpoint = configuredEndpoint();
        Service.Kind kind = endpoint.flatMap(
                        e -> latest.get().flatMap(c -> c.service(e.service())).map(Service::kind))
                .orElse(Service.Kind.PLAIN);
        return ports.clients().client(kind, endpoint.map(Endpoint::dedupeHeader).orElse(""));
    }
}
