package org.ragwortrun.ledger;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.Optional;
import org.ragwortrun.ledger.internal.BudgetAccount;
import org.ragwortrun.ledger.internal.Budgets;
import org.ragwortrun.ledger.internal.GrantIds;
import org.ragwortrun.ledger.internal.RequestRegister;
import org.ragwortrun.ledger.internal.RouterSession;
import org.ragwortrun.ledger.internal.RouterSessions;
import org.ragwortrun.ledger.internal.ShardErrors;
import org.ragwortrun.ledger.internal.SnapshotReader;
import org.ragwortrun.ledger.internal.SnapshotWriter;
import org.ragwortrun.proto.ApplyTopUps;
import org.ragwortrun.proto.BudgetStatement;
import org.ragwortrun.proto.Claim;
import org.ragwortrun.proto.CloseSession;
import org.ragwortrun.proto.ConfirmFence;
import org.ragwortrun.proto.ExplainQuery;
import org.ragwortrun.proto.Explanation;
import org.ragwortrun.proto.FenceProgress;
import org.ragwortrun.proto.ForgetOld;
import org.ragwortrun.proto.Forgotten;
import org.ragwortrun.proto.GrantResult;
import org.ragwortrun.proto.GrantTotal;
import org.ragwortrun.proto.GrantsReduced;
import org.ragwortrun.proto.Holding;
import org.ragwortrun.proto.OpenSession;
import org.ragwortrun.proto.ReduceGrants;
import org.ragwortrun.proto.RejectedUsage;
import org.ragwortrun.proto.RequestGrant;
import org.ragwortrun.proto.Resolve;
import org.ragwortrun.proto.Resolved;
import org.ragwortrun.proto.SessionClosed;
import org.ragwortrun.proto.SessionOpened;
import org.ragwortrun.proto.SettleBatch;
import org.ragwortrun.proto.Settled;
import org.ragwortrun.proto.ShardCommand;
import org.ragwortrun.proto.ShardReply;
import org.ragwortrun.proto.ShardRequest;
import org.ragwortrun.proto.ShardResult;
import org.ragwortrun.proto.ShardSummary;
import org.ragwortrun.proto.Statement;
import org.ragwortrun.proto.StatementQuery;
import org.ragwortrun.proto.TopUpsApplied;
import org.ragwortrun.proto.Usage;

/**
 * State machine of one shard group. It holds budgets, bills, the request register and router sessions.
 *
 * <p>The state depends only on the commands and their order. All replicas must use the same grant policy. Methods are
 * synchronized because queries and commands may run on different threads.
 */
public final class ShardState {
    private static final long FORMAT = 3;

    // Allows for the network delay of a declaration and the clock difference between two leaders.
    private static final long CLOCK_MARGIN_MS = 400;

    /** Age after which no duplicate of a grant request can still arrive. */
    private static final long GRANT_REQUEST_TTL_MS = 600_000;

    private final GrantPolicy policy;
    private Budgets budgets = new Budgets();
    private RequestRegister register = new RequestRegister();
    private RouterSessions sessions = new RouterSessions();
    private long nowMs;
    private long appliedIndex;

    public ShardState(GrantPolicy policy) {
        this.policy = policy;
    }

    /** Applies the log entry with this index, a {@link ShardCommand}, and returns an encoded {@link ShardResult}. */
    public synchronized byte[] apply(long index, byte[] command) {
        appliedIndex = index;
        try {
            return apply(ShardCommand.parseFrom(command)).toByteArray();
        } catch (InvalidProtocolBufferException e) {
            return ShardErrors.MALFORMED_COMMAND
                    .reply(String.valueOf(e.getMessage()))
                    .toByteArray();
        }
    }

    /** Applies a command. Time is monotonic: a command with an older time is applied at the latest time seen. */
    public synchronized ShardResult apply(ShardCommand command) {
        nowMs = Math.max(nowMs, command.getNowMs());
        return switch (command.getOpCase()) {
            case OPEN_SESSION -> openSession(command.getOpenSession());
            case CLOSE_SESSION -> closeSession(command.getCloseSession());
            case CONFIRM_FENCE -> confirmFence(command.getConfirmFence());
            case REQUEST_GRANT -> requestGrant(command.getRequestGrant());
            case REDUCE_GRANTS -> reduceGrants(command.getReduceGrants());
            case SETTLE -> settle(command.getSettle());
            case CLAIM -> claim(command.getClaim());
            case RESOLVE -> resolve(command.getResolve());
            case APPLY_TOP_UPS -> applyTopUps(command.getApplyTopUps());
            case FORGET_OLD -> forgetOld(command.getForgetOld());
            case OP_NOT_SET -> ShardErrors.MALFORMED_COMMAND.reply("command has no operation");
        };
    }

    private ShardResult openSession(OpenSession open) {
        Optional<List<String>> older = sessions.open(open.getRouter(), open.getIncarnation(), open.getDirect(), nowMs);
        if (older.isEmpty()) {
            return ShardErrors.SESSION_CLOSED.reply(open.getIncarnation() + " has been superseded or closed");
        }
        SessionOpened.Builder opened = SessionOpened.newBuilder().addAllToFence(older.get());
        if (open.getDirect()) {
            // Both processes run on the same host, so the old one ended before the new one started.
            long endMs = nowMs - open.getUptimeMs() + CLOCK_MARGIN_MS;
            older.get().stream()
                    .filter(sessions::isDirect)
                    .filter(i -> sessions.close(i, true, List.of(), nowMs))
                    .forEach(i -> opened.addAllWrittenOff(budgets.writeOff(i, endMs)));
        }
        return ShardResult.newBuilder().setSessionOpened(opened).build();
    }

    private ShardResult closeSession(CloseSession close) {
        boolean closed =
                sessions.close(close.getIncarnation(), close.getOrderly(), close.getAwaitedAgentsList(), nowMs);
        boolean lost = closed && !close.getOrderly() && sessions.isDirect(close.getIncarnation());
        if (lost) {
            budgets.writeOff(close.getIncarnation(), Long.MAX_VALUE);
        }
        long released = closed && !lost ? budgets.release(close.getIncarnation()) : 0;
        return ShardResult.newBuilder()
                .setSessionClosed(SessionClosed.newBuilder().setReleased(released))
                .build();
    }

    private ShardResult confirmFence(ConfirmFence confirm) {
        boolean closed = sessions.confirm(confirm.getIncarnation(), confirm.getAgent(), nowMs);
        long released = closed ? budgets.release(confirm.getIncarnation()) : 0;
        FenceProgress.Builder progress = FenceProgress.newBuilder().setReleased(released);
        sessions.find(confirm.getIncarnation()).ifPresent(s -> progress.addAllAwaitedAgents(s.awaitedAgents()));
        return ShardResult.newBuilder().setFence(progress).build();
    }

    private ShardResult requestGrant(RequestGrant request) {
        Optional<Long> counter = GrantIds.parseCounter(request.getGrantId(), request.getIncarnation());
        if (counter.isEmpty()) {
            return ShardErrors.MALFORMED_GRANT_ID.reply(request.getGrantId() + " is not <incarnation>-<counter>");
        }
        if (request.getMinimum() < 0 || request.getWanted() < 0) {
            return ShardErrors.NEGATIVE_AMOUNT.reply("grant " + request.getGrantId());
        }
        if (!sessions.isOpen(request.getIncarnation())) {
            return grantRefused(GrantResult.Outcome.UNKNOWN_SESSION);
        }
        Optional<BudgetAccount> budget = budgets.find(request.getBudget());
        if (budget.isEmpty()) {
            return grantRefused(GrantResult.Outcome.UNKNOWN_BUDGET);
        }
        return ShardResult.newBuilder()
                .setGrant(budget.get().requestGrant(request, counter.get(), policy, nowMs))
                .build();
    }

    private static ShardResult grantRefused(GrantResult.Outcome outcome) {
        return ShardResult.newBuilder()
                .setGrant(GrantResult.newBuilder().setOutcome(outcome))
                .build();
    }

    private ShardResult reduceGrants(ReduceGrants reduce) {
        for (GrantTotal total : reduce.getTotalsList()) {
            boolean valid = budgets.find(total.getBudget())
                    .map(b -> b.canReduce(reduce.getIncarnation(), total))
                    .orElse(false);
            if (!valid) {
                return ShardErrors.INVALID_RETURN.reply(
                        "grant " + total.getGrantId() + " cannot return a total of " + total.getReturnedTotal());
            }
        }
        long returned = reduce.getTotalsList().stream()
                .mapToLong(
                        t -> budgets.find(t.getBudget()).map(b -> b.reduce(t)).orElse(0L))
                .sum();
        return ShardResult.newBuilder()
                .setGrantsReduced(GrantsReduced.newBuilder().setReturned(returned))
                .build();
    }

    private ShardResult settle(SettleBatch batch) {
        batch.getMarksList()
                .forEach(m -> budgets.find(m.getBudget()).ifPresent(b -> b.recordMark(batch.getReporter(), m, nowMs)));
        Settled.Builder result = Settled.newBuilder();
        for (Usage usage : batch.getUsagesList()) {
            if (register.isBilled(usage.getBudget(), usage.getRequestId())) {
                result.setDuplicates(result.getDuplicates() + 1);
                if (register.recordSecondRun(usage)) {
                    budgets.find(usage.getBudget()).ifPresent(b -> b.refundSecondRun(usage));
                }
                continue;
            }
            Optional<String> rejected = budgets.find(usage.getBudget())
                    .map(b -> b.settle(usage, register.acceptFromMs()))
                    .orElseGet(() -> Optional.of(ShardErrors.UNKNOWN_BUDGET.type()));
            if (rejected.isPresent()) {
                result.addRejected(RejectedUsage.newBuilder()
                        .setRequestId(usage.getRequestId())
                        .setReason(rejected.get()));
            } else {
                register.bill(usage, nowMs);
                result.setBilled(result.getBilled() + 1);
            }
        }
        return ShardResult.newBuilder().setSettled(result).build();
    }

    private ShardResult claim(Claim claim) {
        if (budgets.find(claim.getBudget()).isEmpty()) {
            return ShardErrors.UNKNOWN_BUDGET.reply(
                    claim.getBudget().getAccount() + "/" + claim.getBudget().getService());
        }
        if (!sessions.isOpen(claim.getIncarnation())) {
            return ShardErrors.UNKNOWN_SESSION.reply(claim.getIncarnation());
        }
        if (!claim.getRepeatable() && claim.getKeyTimeMs() <= 0) {
            return ShardErrors.ID_WITHOUT_TIME.reply("request " + claim.getRequestId() + " may not be repeated");
        }
        return ShardResult.newBuilder().setClaim(register.claim(claim, nowMs)).build();
    }

    private ShardResult resolve(Resolve resolve) {
        return ShardResult.newBuilder()
                .setResolved(Resolved.newBuilder().setRun(register.resolve(resolve)))
                .build();
    }

    private ShardResult applyTopUps(ApplyTopUps apply) {
        if (apply.getTopUpsList().stream().anyMatch(t -> t.getTokens() < 0)) {
            return ShardErrors.NEGATIVE_AMOUNT.reply("top-up of configuration " + apply.getConfigNumber());
        }
        if (!budgets.canApplyTopUps(apply.getTopUpsList())) {
            return ShardErrors.AMOUNT_OVERFLOW.reply("top-up of configuration " + apply.getConfigNumber());
        }
        int applied = (int) apply.getTopUpsList().stream()
                .filter(t -> budgets.topUp(t, apply.getConfigNumber()))
                .count();
        return ShardResult.newBuilder()
                .setTopUps(TopUpsApplied.newBuilder().setApplied(applied).setKnown(apply.getTopUpsCount() - applied))
                .build();
    }

    private ShardResult forgetOld(ForgetOld forget) {
        int dropped = register.evict(forget.getBeforeMs(), nowMs, budgets.oldestGrantMs());
        budgets.all().forEach(b -> b.evictLastRequests(nowMs - GRANT_REQUEST_TTL_MS));
        sessions.evictClosed();
        return ShardResult.newBuilder()
                .setForgotten(Forgotten.newBuilder().setDropped(dropped))
                .build();
    }

    /** Answers a read-only query. A request that contains a command is rejected, because commands go through the log. */
    public synchronized ShardReply query(ShardRequest request) {
        return switch (request.getOpCase()) {
            case STATEMENT ->
                ShardReply.newBuilder()
                        .setStatement(statement(request.getStatement()))
                        .build();
            case EXPLAIN ->
                ShardReply.newBuilder()
                        .setExplanation(explain(request.getExplain()))
                        .build();
            case SUMMARY -> ShardReply.newBuilder().setSummary(summary()).build();
            case COMMAND, OP_NOT_SET ->
                ShardReply.newBuilder()
                        .setCommand(ShardErrors.MALFORMED_COMMAND.reply("request is not a query"))
                        .build();
        };
    }

    /** Returns the budgets of an account with their holders and the agents that closing holders still wait for. */
    public synchronized Statement statement(StatementQuery query) {
        Statement.Builder b = Statement.newBuilder().setAccount(query.getAccount());
        budgets.ofAccount(query.getAccount()).forEach(budget -> b.addBudgets(statement(budget)));
        return b.setKnown(b.getBudgetsCount() > 0).build();
    }

    private BudgetStatement statement(BudgetAccount budget) {
        BudgetStatement.Builder b = BudgetStatement.newBuilder()
                .setBudget(budget.ref())
                .setPrepaid(budget.prepaid())
                .setSettled(budget.settled())
                .setHeld(budget.outstanding())
                .setBills(budget.bills());
        budget.holdings().forEach((incarnation, tokens) -> b.addHoldings(holding(incarnation, tokens)));
        return b.build();
    }

    private Holding holding(String incarnation, long tokens) {
        Holding.Builder b = Holding.newBuilder().setIncarnation(incarnation).setTokens(tokens);
        sessions.find(incarnation)
                .ifPresent(s -> b.setRouter(s.router())
                        .setClosing(s.phase() != RouterSession.Phase.OPEN)
                        .addAllAwaitedAgents(s.awaitedAgents()));
        return b.build();
    }

    public synchronized Explanation explain(ExplainQuery query) {
        return register.explain(query.getAccount(), query.getRequestId());
    }

    /** Returns totals over the shard. A sum that overflows is reported as {@link Long#MAX_VALUE}. */
    public synchronized ShardSummary summary() {
        return ShardSummary.newBuilder()
                .setBudgets(budgets.all().count())
                .setRegisterEntries(register.size())
                .setGrants(budgets.all().mapToLong(BudgetAccount::grantCount).sum())
                .setPrepaid(saturatedSum(
                        budgets.all().mapToLong(BudgetAccount::prepaid).toArray()))
                .setSettled(saturatedSum(
                        budgets.all().mapToLong(BudgetAccount::settled).toArray()))
                .setHeld(saturatedSum(
                        budgets.all().mapToLong(BudgetAccount::outstanding).toArray()))
                .build();
    }

    private static long saturatedSum(long... amounts) {
        long sum = 0;
        for (long a : amounts) {
            sum = a > Long.MAX_VALUE - sum ? Long.MAX_VALUE : sum + a;
        }
        return sum;
    }

    /** Returns the sessions of router incarnations, including closed ones that have not been evicted. */
    public synchronized List<SessionState> sessions() {
        return sessions.all()
                .map(s -> new SessionState(
                        s.router(),
                        s.incarnation(),
                        SessionState.Phase.valueOf(s.phase().name()),
                        List.copyOf(s.awaitedAgents())))
                .toList();
    }

    /** Returns the index of the last applied log entry. */
    public synchronized long appliedIndex() {
        return appliedIndex;
    }

    /** Writes a snapshot of the state. Equal states produce equal bytes. */
    public synchronized void writeSnapshot(OutputStream stream) throws IOException {
        SnapshotWriter out = new SnapshotWriter(stream);
        out.number(FORMAT);
        out.number(nowMs);
        out.number(appliedIndex);
        budgets.write(out);
        register.write(out);
        sessions.write(out);
        out.flush();
    }

    /** Replaces the state with a snapshot. If the snapshot cannot be read, the state is unchanged. */
    public synchronized void readSnapshot(InputStream stream) throws IOException {
        SnapshotReader in = new SnapshotReader(stream);
        in.expect(FORMAT);
        long now = in.number();
        long index = in.number();
        Budgets readBudgets = Budgets.read(in);
        RequestRegister readRegister = RequestRegister.read(in);
        RouterSessions readSessions = RouterSessions.read(in);
        nowMs = now;
        appliedIndex = index;
        budgets = readBudgets;
        register = readRegister;
        sessions = readSessions;
    }
}
