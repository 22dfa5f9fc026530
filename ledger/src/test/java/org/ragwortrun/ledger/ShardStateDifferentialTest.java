package org.ragwortrun.ledger;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.*;

/**
 * Compares a shard with {@link NaiveShard} under random commands with duplicates, reordering, router crashes, delayed
 * reports and restores from snapshots. To replay one seed, run with {@code -Dledger.seed=K -Dledger.seeds=1}.
 */
final class ShardStateDifferentialTest {
    private static final long HOUR = 3_600_000;
    private static final long RETENTION = 12 * HOUR;
    private static final List<String> AGENTS = List.of("a1", "a2", "a3");

    private UniformRandomProvider random;
    private ShardState shard;
    private NaiveShard naive;
    private List<ShardCommand> sent;
    private List<ShardCommand> delayed;
    private List<Usage> usages;
    private Map<String, Long> keyTimes;
    private Set<String> freshAttempts;
    private Map<String, String> incarnations;
    private Map<String, Long> issued;
    private Map<String, Long> unspent;
    private long now;
    private long counter;
    private String context;
    private int billed;
    private int copies;

    /**
     * Guards against overspending, double billing, top-ups counted twice, concurrent attempts and state lost in a restore.
     */
    @Test
    void matchesNaiveShard() throws IOException {
        long first = Long.getLong("ledger.seed", 1);
        long seeds = Long.getLong("ledger.seeds", 150);
        int allBilled = 0;
        int allCopies = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            run(seed, 400);
            allBilled += billed;
            allCopies += copies;
        }
        SeedReport.print("ShardState", first, seeds, "billed=" + allBilled + " copies=" + allCopies);
        assertWithMessage("requests billed").that(allBilled).isGreaterThan((int) seeds);
        assertWithMessage("copies of reports").that(allCopies).isGreaterThan((int) seeds);
    }

    private void run(long seed, int steps) throws IOException {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        shard = new ShardState(GrantPolicy.demand());
        naive = new NaiveShard();
        sent = new ArrayList<>();
        delayed = new ArrayList<>();
        usages = new ArrayList<>();
        keyTimes = new HashMap<>();
        freshAttempts = new HashSet<>();
        incarnations = new HashMap<>();
        issued = new HashMap<>();
        unspent = new HashMap<>();
        now = 1_800_000_000_000L;
        billed = 0;
        copies = 0;
        for (int i = 0; i < steps; i++) {
            context = "seed " + seed + " step " + i;
            now += random.nextInt(50) == 0 ? random.nextLong(5 * HOUR) : random.nextLong(20_000);
            step();
            if (random.nextInt(40) == 0) {
                restore();
            }
            checkBudgets();
        }
    }

    private void step() {
        int kind = random.nextInt(100);
        if (kind < 10 && !sent.isEmpty()) {
            performLate(sent.get(random.nextInt(sent.size())));
        } else if (kind < 25 && !delayed.isEmpty()) {
            performLate(delayed.remove(random.nextInt(delayed.size())));
        } else {
            ShardCommand command = generate(kind).toBuilder().setNowMs(now).build();
            if (random.nextInt(8) == 0) {
                delayed.add(command);
            } else {
                perform(command);
            }
        }
    }

    /** Performs a duplicate or delayed command. Grant requests are duplicated for ten minutes at most. */
    private void performLate(ShardCommand command) {
        if (!command.hasRequestGrant() || now - command.getNowMs() < 600_000) {
            perform(command);
        }
    }

    private ShardCommand generate(int kind) {
        ShardCommand.Builder b = ShardCommand.newBuilder();
        if (kind < 30) {
            return b.setApplyTopUps(ApplyTopUps.newBuilder()
                            .addTopUps(TopUp.newBuilder()
                                    .setBudget(budget())
                                    .setId("t" + random.nextInt(10))
                                    .setTokens(random.nextInt(5_000))))
                    .build();
        }
        if (kind < 34) {
            String router = "r" + random.nextInt(3);
            String incarnation = router + "@" + ++counter;
            incarnations.put(router, incarnation);
            return b.setOpenSession(OpenSession.newBuilder().setRouter(router).setIncarnation(incarnation))
                    .build();
        }
        if (kind < 36) {
            return b.setCloseSession(CloseSession.newBuilder()
                            .setIncarnation(anyIncarnation())
                            .setOrderly(random.nextInt(5) == 0)
                            .addAllAwaitedAgents(AGENTS.subList(0, 1 + random.nextInt(3))))
                    .build();
        }
        if (kind < 44) {
            return b.setConfirmFence(ConfirmFence.newBuilder()
                            .setIncarnation(anyIncarnation())
                            .setAgent(AGENTS.get(random.nextInt(3))))
                    .build();
        }
        if (kind < 58) {
            String incarnation = incarnations.getOrDefault("r" + random.nextInt(3), "none");
            long minimum = random.nextInt(400);
            return b.setRequestGrant(RequestGrant.newBuilder()
                            .setBudget(budget())
                            .setIncarnation(incarnation)
                            .setGrantId(incarnation + "-" + ++counter)
                            .setMinimum(minimum)
                            .setWanted(minimum + random.nextInt(2_000)))
                    .build();
        }
        if (kind < 63) {
            return b.setReduceGrants(reduce()).build();
        }
        if (kind < 82) {
            return b.setSettle(settle()).build();
        }
        if (kind < 92) {
            return b.setClaim(claim()).build();
        }
        if (kind < 96) {
            return b.setResolve(Resolve.newBuilder()
                            .setBudget(budget())
                            .setRequestId("q" + random.nextInt(40))
                            .setAttempt(1 + random.nextInt(2))
                            .setRun(random.nextBoolean() ? RunState.RUN_NOT_RUN : RunState.RUN_UNKNOWN))
                    .build();
        }
        return b.setForgetOld(ForgetOld.newBuilder().setBeforeMs(now - RETENTION))
                .build();
    }

    private String anyIncarnation() {
        List<String> all = naive.routerOf.keySet().stream().sorted().toList();
        return all.isEmpty() ? "none" : all.get(random.nextInt(all.size()));
    }

    private BudgetRef budget() {
        return BudgetRef.newBuilder()
                .setAccount("c" + random.nextInt(3))
                .setService("s")
                .build();
    }

    /** Returns part of the unspent tokens of a grant. */
    private ReduceGrants reduce() {
        if (naive.grants.isEmpty()) {
            return ReduceGrants.getDefaultInstance();
        }
        NaiveShard.NaiveGrant g = naive.grants.get(random.nextInt(naive.grants.size()));
        long part = random.nextLong(unspent.getOrDefault(g.id, 0L) + 1);
        unspent.merge(g.id, -part, Long::sum);
        return ReduceGrants.newBuilder()
                .setIncarnation(g.incarnation)
                .addTotals(GrantTotal.newBuilder()
                        .setBudget(BudgetRef.newBuilder().setAccount(g.account).setService("s"))
                        .setGrantId(g.id)
                        .setReturnedTotal(g.returned + part))
                .build();
    }

    /** Reports a new usage, sometimes as a second run of a known id, or an earlier usage again, or both. */
    private SettleBatch settle() {
        SettleBatch.Builder batch = SettleBatch.newBuilder();
        if (!usages.isEmpty() && random.nextInt(3) == 0) {
            batch.addUsages(usages.get(random.nextInt(usages.size())));
        }
        if (!naive.grants.isEmpty()) {
            NaiveShard.NaiveGrant g = naive.grants.get(random.nextInt(naive.grants.size()));
            long tokens = random.nextLong(unspent.getOrDefault(g.id, 0L) / 2 + 1);
            boolean isRecent = now - issued.getOrDefault(g.id, 0L) < HOUR;
            if (isRecent) {
                long returned = random.nextInt(4) == 0 ? random.nextLong(unspent.getOrDefault(g.id, 0L) / 4 + 1) : 0;
                unspent.merge(g.id, -tokens - returned, Long::sum);
                String keyed = "q" + random.nextInt(40);
                // Routers run no request whose id is older than the retention time.
                boolean runs = now - keyTimes.computeIfAbsent(keyed, i -> now) < RETENTION - HOUR;
                String id = random.nextInt(4) == 0 && runs ? keyed : "u" + ++counter;
                Usage u = Usage.newBuilder()
                        .setBudget(BudgetRef.newBuilder().setAccount(g.account).setService("s"))
                        .setRequestId(id)
                        .setGrantId(g.id)
                        .setIncarnation(g.incarnation)
                        .setTokens(tokens)
                        .setReturned(returned)
                        .setStatus(200)
                        .setAnswer(ByteString.copyFromUtf8("answer"))
                        .build();
                usages.add(u);
                batch.addUsages(u);
            }
        }
        return batch.build();
    }

    private Claim claim() {
        String id = "q" + random.nextInt(40);
        long keyTime = keyTimes.computeIfAbsent(id, i -> now);
        String incarnation = incarnations.getOrDefault("r" + random.nextInt(3), "none");
        return Claim.newBuilder()
                .setBudget(budget())
                .setRequestId(id)
                .setDigest(ByteString.copyFromUtf8(random.nextInt(10) == 0 ? "other" : "content"))
                .setRepeatable(id.hashCode() % 2 == 0)
                .setKeyTimeMs(keyTime)
                .setIncarnation(incarnation)
                .setAgent("a1")
                .setAgentIncarnation("a1@1")
                .setReplacesAttempt(random.nextInt(3))
                .build();
    }

    private void perform(ShardCommand template) {
        ShardCommand command = template.toBuilder().setNowMs(now).build();
        ShardResult result = shard.apply(command);
        sent.add(template);
        switch (command.getOpCase()) {
            case OPEN_SESSION -> {
                Set<String> expected = naive.open(command.getOpenSession());
                Set<String> got = result.hasError()
                        ? Set.of("refused")
                        : Set.copyOf(result.getSessionOpened().getToFenceList());
                assertWithMessage(context).that(got).isEqualTo(expected);
            }
            case CLOSE_SESSION ->
                assertWithMessage(context)
                        .that(result.getSessionClosed().getReleased())
                        .isEqualTo(naive.close(command.getCloseSession()));
            case CONFIRM_FENCE ->
                assertWithMessage(context)
                        .that(result.getFence().getReleased())
                        .isEqualTo(naive.confirm(command.getConfirmFence()));
            case REQUEST_GRANT -> checkGrant(command.getRequestGrant(), result.getGrant());
            case REDUCE_GRANTS -> {
                assertWithMessage(context).that(result.hasError()).isFalse();
                long returned = command.getReduceGrants().getTotalsList().stream()
                        .mapToLong(naive::reduce)
                        .sum();
                assertWithMessage(context)
                        .that(result.getGrantsReduced().getReturned())
                        .isEqualTo(returned);
            }
            case SETTLE -> checkSettle(command.getSettle(), result.getSettled());
            case CLAIM -> checkClaim(command.getClaim(), result);
            case RESOLVE -> naive.resolve(command.getResolve());
            case APPLY_TOP_UPS -> {
                int applied = (int) command.getApplyTopUps().getTopUpsList().stream()
                        .filter(naive::topUp)
                        .count();
                assertWithMessage(context).that(result.getTopUps().getApplied()).isEqualTo(applied);
            }
            default -> assertWithMessage(context).that(result.hasError()).isFalse();
        }
    }

    private void checkGrant(RequestGrant request, GrantResult got) {
        if (request.getIncarnation().equals("none")) {
            return;
        }
        boolean isNew = naive.grants.stream().noneMatch(g -> g.id.equals(request.getGrantId()));
        GrantResult expected = naive.request(request);
        assertWithMessage(context).that(got.getOutcome()).isEqualTo(expected.getOutcome());
        assertWithMessage(context).that(got.getAmount()).isEqualTo(expected.getAmount());
        if (isNew) {
            issued.put(request.getGrantId(), now);
            unspent.put(request.getGrantId(), got.getAmount());
        }
    }

    private void checkSettle(SettleBatch batch, Settled got) {
        Map<String, String> reasons = new HashMap<>();
        got.getRejectedList().forEach(r -> reasons.put(r.getRequestId(), r.getReason()));
        int newBills = 0;
        for (Usage u : batch.getUsagesList()) {
            if ("grant-older-than-register".equals(reasons.get(u.getRequestId()))) {
                assertWithMessage(context)
                        .that(now - issued.get(u.getGrantId()))
                        .isAtLeast(RETENTION);
                continue;
            }
            String expected = naive.settle(u);
            newBills += expected.equals("billed") ? 1 : 0;
            copies += expected.equals("duplicate") ? 1 : 0;
        }
        assertWithMessage(context).that(got.getBilled()).isEqualTo(newBills);
        billed += newBills;
    }

    private void checkClaim(Claim claim, ShardResult result) {
        if (result.hasError()) {
            boolean known = naive.isOpen(claim.getIncarnation())
                    && naive.topUps.containsKey(claim.getBudget().getAccount());
            assertWithMessage(context).that(known).isFalse();
            return;
        }
        ClaimResult got = result.getClaim();
        if (got.getOutcome() == ClaimResult.Outcome.EXPIRED) {
            assertWithMessage(context).that(now - claim.getKeyTimeMs()).isAtLeast(RETENTION - HOUR);
            return;
        }
        ClaimResult.Outcome expected = naive.claim(claim);
        assertWithMessage(context).that(got.getOutcome()).isEqualTo(expected);
        if (got.getOutcome() == ClaimResult.Outcome.FRESH) {
            String attempt = NaiveShard.key(claim.getBudget().getAccount(), claim.getRequestId()) + got.getAttempt();
            assertWithMessage(context).that(freshAttempts.add(attempt)).isTrue();
        }
    }

    private void checkBudgets() {
        for (int i = 0; i < 3; i++) {
            String account = "c" + i;
            Statement s = shard.statement(
                    StatementQuery.newBuilder().setAccount(account).build());
            if (s.getKnown()) {
                BudgetStatement b = s.getBudgets(0);
                assertWithMessage(context).that(b.getSettled() + b.getHeld()).isAtMost(b.getPrepaid());
                assertWithMessage(context).that(b.getPrepaid()).isEqualTo(naive.prepaid(account));
                assertWithMessage(context).that(b.getSettled()).isEqualTo(naive.settled(account));
                assertWithMessage(context).that(b.getHeld()).isEqualTo(naive.held(account));
            }
        }
    }

    private void restore() throws IOException {
        ByteArrayOutputStream before = new ByteArrayOutputStream();
        shard.writeSnapshot(before);
        shard = new ShardState(GrantPolicy.demand());
        shard.readSnapshot(new ByteArrayInputStream(before.toByteArray()));
        ByteArrayOutputStream after = new ByteArrayOutputStream();
        shard.writeSnapshot(after);
        assertWithMessage(context).that(after.toByteArray()).isEqualTo(before.toByteArray());
    }
}
