package org.ragwortrun.ledger.internal;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.Claim;
import org.ragwortrun.proto.ClaimResult;
import org.ragwortrun.proto.Explanation;
import org.ragwortrun.proto.Resolve;
import org.ragwortrun.proto.RunState;
import org.ragwortrun.proto.Usage;

/**
 * Register of requests by account and id, with their content digest, newest attempt, outcome and bill.
 *
 * <p>Entries are stored in buckets of one hour. An entry that is claimed again or billed moves to the newest bucket, so
 * that its retention time starts again. {@link RegisterBucket} documents the memory per entry.
 */
public final class RequestRegister {
    /** Maximum size of an answer that is kept for a request that may not be repeated. */
    public static final int MAX_ANSWER_BYTES = 8 * 1024;

    private static final long MAX_TOTAL_ANSWER_BYTES = 64L << 20;

    private static final long BUCKET_MS = 3_600_000;

    private final TreeMap<Long, RegisterBucket> buckets = new TreeMap<>();
    private final Retention retention = new Retention();
    private final long maxTotalAnswerBytes;

    public RequestRegister() {
        this(MAX_TOTAL_ANSWER_BYTES);
    }

    RequestRegister(long mostAnswerBytes) {
        this.maxTotalAnswerBytes = mostAnswerBytes;
    }

    /** Registers an attempt, or returns what is known about the request. */
    public ClaimResult claim(Claim claim, long nowMs) {
        IdHash id = IdHash.of(claim.getBudget().getAccount(), claim.getRequestId());
        RegisterBucket bucket = find(id);
        RegisterEntry known = bucket == null ? null : bucket.get(id);
        if (bucket == null || known == null) {
            Optional<ClaimResult.Outcome> rejected =
                    KeyTimeRule.reject(claim.getKeyTimeMs(), nowMs, retention.forgottenBeforeMs());
            return rejected.map(o -> ClaimResult.newBuilder().setOutcome(o).build())
                    .orElseGet(() -> startAttempt(id, claim, 1, nowMs));
        }
        RegisterEntry.Digest digest = RegisterEntry.Digest.of(claim.getDigest().toByteArray());
        if (!known.digest().equals(RegisterEntry.Digest.NONE) && !known.digest().equals(digest)) {
            return ClaimResult.newBuilder()
                    .setOutcome(ClaimResult.Outcome.CONFLICT)
                    .build();
        }
        if (AttemptReplacementRule.allows(claim, known)) {
            return startAttempt(id, claim, known.attempt().number() + 1, nowMs);
        }
        return describe(bucket, id, known);
    }

    private ClaimResult startAttempt(IdHash id, Claim claim, int number, long nowMs) {
        Attempt attempt = new Attempt(number, claim.getIncarnation(), claim.getAgent(), claim.getAgentIncarnation());
        RegisterEntry.Digest digest = RegisterEntry.Digest.of(claim.getDigest().toByteArray());
        store(id, new RegisterEntry(digest, claim.getRepeatable(), RunState.RUN_RUNNING, attempt, nowMs, null), nowMs);
        return ClaimResult.newBuilder()
                .setOutcome(ClaimResult.Outcome.FRESH)
                .setAttempt(number)
                .setAgent(claim.getAgent())
                .setAgentIncarnation(claim.getAgentIncarnation())
                .setIncarnation(claim.getIncarnation())
                .build();
    }

    private static ClaimResult describe(RegisterBucket bucket, IdHash id, RegisterEntry e) {
        ClaimResult.Builder b = ClaimResult.newBuilder()
                .setOutcome(outcome(e.state()))
                .setAttempt(e.attempt().number())
                .setAgent(e.attempt().agent())
                .setAgentIncarnation(e.attempt().agentIncarnation())
                .setIncarnation(e.attempt().incarnation());
        Bill bill = e.bill();
        if (bill != null) {
            b.setStatus(bill.profile().status());
        }
        byte[] answer = bucket.answer(id);
        if (answer != null) {
            b.setAnswer(ByteString.copyFrom(answer)).setAnswerKept(true);
        }
        return b.build();
    }

    private static ClaimResult.Outcome outcome(RunState state) {
        return switch (state) {
            case RUN_RUNNING -> ClaimResult.Outcome.RUNNING;
            case RUN_RAN -> ClaimResult.Outcome.RAN;
            case RUN_NOT_RUN -> ClaimResult.Outcome.NOT_RUN;
            default -> ClaimResult.Outcome.UNKNOWN;
        };
    }

    /**
     * Records the outcome of the newest attempt, and returns the state of the request. Only a running attempt changes. An
     * unknown outcome changes only when the request is billed, and an older attempt number has no effect.
     */
    public RunState resolve(Resolve resolve) {
        IdHash id = IdHash.of(resolve.getBudget().getAccount(), resolve.getRequestId());
        RegisterBucket bucket = find(id);
        RegisterEntry known = bucket == null ? null : bucket.get(id);
        if (bucket == null || known == null) {
            return RunState.RUN_UNKNOWN;
        }
        boolean newest = known.attempt().number() == resolve.getAttempt();
        boolean outcome = resolve.getRun() == RunState.RUN_NOT_RUN
                || resolve.getRun() == RunState.RUN_RAN
                || resolve.getRun() == RunState.RUN_UNKNOWN;
        if (!newest || !outcome || known.state() != RunState.RUN_RUNNING) {
            return known.state();
        }
        bucket.put(id, known.withState(resolve.getRun()));
        return resolve.getRun();
    }

    /** Returns whether a request has been billed. */
    public boolean isBilled(BudgetRef budget, String requestId) {
        IdHash id = IdHash.of(budget.getAccount(), requestId);
        RegisterBucket bucket = find(id);
        RegisterEntry known = bucket == null ? null : bucket.get(id);
        return known != null && known.bill() != null;
    }

    /**
     * Records another run of a request that has been billed under a different grant, and returns whether this run was not
     * known before. Such a run had its own reservation, whose tokens must be refunded to the budget.
     */
    public boolean recordSecondRun(Usage usage) {
        IdHash id = IdHash.of(usage.getBudget().getAccount(), usage.getRequestId());
        RegisterBucket bucket = find(id);
        RegisterEntry known = bucket == null ? null : bucket.get(id);
        Bill bill = known == null ? null : known.bill();
        return bucket != null
                && bill != null
                && !usage.getGrantId().equals(GrantIds.of(bill.incarnation(), bill.grant()))
                && bucket.addSecondRun(id, usage.getGrantId());
    }

    /** Records the bill of a request, and its answer if the request may not be repeated. */
    public void bill(Usage usage, long nowMs) {
        IdHash id = IdHash.of(usage.getBudget().getAccount(), usage.getRequestId());
        RegisterBucket bucket = find(id);
        RegisterEntry known = bucket == null ? null : bucket.get(id);
        RegisterEntry entry = known == null
                ? new RegisterEntry(RegisterEntry.Digest.NONE, true, RunState.RUN_RAN, Attempt.NONE, nowMs, null)
                : known;
        RegisterBucket newest = store(id, entry.withBill(Bill.of(usage, nowMs)), nowMs);
        int length = usage.getAnswer().size();
        if (!entry.repeatable() && !usage.getAnswerTruncated() && length > 0 && length <= MAX_ANSWER_BYTES) {
            newest.keepAnswer(id, usage.getAnswer().toByteArray());
            evictOldAnswers();
        }
    }

    /** Evicts the answers of the oldest buckets while the total size exceeds the limit, 64 MiB by default. */
    private void evictOldAnswers() {
        long sum =
                buckets.values().stream().mapToLong(RegisterBucket::answerBytes).sum();
        for (RegisterBucket b : buckets.values()) {
            if (sum > maxTotalAnswerBytes) {
                sum -= b.answerBytes();
                b.dropAnswers();
            }
        }
    }

    /** Returns what is known about a request. */
    public Explanation explain(String account, String requestId) {
        IdHash id = IdHash.of(account, requestId);
        RegisterBucket bucket = find(id);
        RegisterEntry e = bucket == null ? null : bucket.get(id);
        if (e == null) {
            return Explanation.getDefaultInstance();
        }
        Attempt a = e.attempt();
        Explanation.Builder b = Explanation.newBuilder()
                .setKnown(true)
                .setRun(e.state())
                .setAgent(a.agent())
                .setAgentIncarnation(a.agentIncarnation())
                .setAttempt(a.number())
                .setClaimedMs(a.number() == 0 ? 0 : e.claimedMs());
        Bill bill = e.bill();
        if (bill != null) {
            Bill.Profile p = bill.profile();
            b.setBilledMs(bill.atMs())
                    .setUsage(Usage.newBuilder()
                            .setBudget(
                                    BudgetRef.newBuilder().setAccount(account).setService(p.service()))
                            .setRequestId(requestId)
                            .setIncarnation(bill.incarnation())
                            .setGrantId(GrantIds.of(bill.incarnation(), bill.grant()))
                            .setTokens(bill.tokens())
                            .setPromptTokens(bill.promptTokens())
                            .setOutputTokens(bill.outputTokens())
                            .setEndpoint(p.endpoint())
                            .setVersion(p.version())
                            .setRoute(p.route())
                            .setStatus(p.status())
                            .setClaimed(a.number() > 0));
        }
        return b.build();
    }

    /** Evicts buckets that end before the retention limit and returns the number of evicted entries. */
    public int evict(long beforeMs, long nowMs, long oldestGrantMs) {
        long limit = retention.advance(beforeMs, nowMs, oldestGrantMs);
        int dropped = 0;
        while (!buckets.isEmpty() && buckets.firstKey() + BUCKET_MS <= limit) {
            dropped += buckets.pollFirstEntry().getValue().size();
        }
        return dropped;
    }

    /** Returns the earliest issue time of a grant under which usage is still billed. */
    public long acceptFromMs() {
        return retention.acceptFromMs();
    }

    public long size() {
        return buckets.values().stream().mapToLong(RegisterBucket::size).sum();
    }

    private @Nullable RegisterBucket find(IdHash id) {
        for (RegisterBucket b : buckets.descendingMap().values()) {
            if (b.contains(id)) {
                return b;
            }
        }
        return null;
    }

    private RegisterBucket store(IdHash id, RegisterEntry entry, long nowMs) {
        long start = Math.floorDiv(nowMs, BUCKET_MS) * BUCKET_MS;
        RegisterBucket newest = buckets.computeIfAbsent(start, RegisterBucket::new);
        RegisterBucket old = find(id);
        if (old != null && old.startMs() != start) {
            old.remove(id);
        }
        newest.put(id, entry);
        return newest;
    }

    public void write(SnapshotWriter out) throws IOException {
        retention.write(out);
        out.all(buckets.values(), b -> b.write(out));
    }

    public static RequestRegister read(SnapshotReader in) throws IOException {
        RequestRegister r = new RequestRegister();
        r.retention.read(in);
        in.all(() -> {
            RegisterBucket b = RegisterBucket.read(in);
            r.buckets.put(b.startMs(), b);
        });
        return r;
    }
}
