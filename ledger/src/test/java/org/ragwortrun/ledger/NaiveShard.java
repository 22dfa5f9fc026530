package org.ragwortrun.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.ragwortrun.proto.Claim;
import org.ragwortrun.proto.ClaimResult;
import org.ragwortrun.proto.CloseSession;
import org.ragwortrun.proto.ConfirmFence;
import org.ragwortrun.proto.GrantResult;
import org.ragwortrun.proto.GrantTotal;
import org.ragwortrun.proto.OpenSession;
import org.ragwortrun.proto.RequestGrant;
import org.ragwortrun.proto.Resolve;
import org.ragwortrun.proto.RunState;
import org.ragwortrun.proto.TopUp;
import org.ragwortrun.proto.Usage;

/** Reference model of a shard in plain maps. It keeps all grants, bills and claims, and recomputes each sum. */
final class NaiveShard {
    final Map<String, Map<String, Long>> topUps = new HashMap<>();
    final List<NaiveGrant> grants = new ArrayList<>();
    final Map<String, GrantResult.Outcome> refusedRequests = new HashMap<>();
    final Map<String, Long> newestRequest = new HashMap<>();
    final Map<String, Usage> bills = new HashMap<>();
    final Map<String, NaiveRequest> requests = new HashMap<>();
    final Map<String, String> routerOf = new HashMap<>();
    final Set<String> secondRuns = new HashSet<>();
    final Set<String> superseded = new HashSet<>();
    final Map<String, Set<String>> awaited = new HashMap<>();
    final Map<String, Set<String>> confirmed = new HashMap<>();
    final Set<String> closed = new HashSet<>();

    long prepaid(String account) {
        return topUps.getOrDefault(account, Map.of()).values().stream()
                .mapToLong(t -> t)
                .sum();
    }

    long settled(String account) {
        return bills.values().stream()
                .filter(u -> u.getBudget().getAccount().equals(account))
                .mapToLong(Usage::getTokens)
                .sum();
    }

    long held(String account) {
        return grants.stream()
                .filter(g -> g.account.equals(account))
                .mapToLong(g -> g.outstanding())
                .sum();
    }

    boolean topUp(TopUp t) {
        return topUps.computeIfAbsent(t.getBudget().getAccount(), a -> new HashMap<>())
                        .putIfAbsent(t.getId(), t.getTokens())
                == null;
    }

    Set<String> open(OpenSession open) {
        String name = open.getIncarnation();
        if (superseded.contains(name) || awaited.containsKey(name) || closed.contains(name)) {
            return Set.of("refused");
        }
        Set<String> older = new TreeSet<>();
        routerOf.forEach((i, r) -> {
            if (r.equals(open.getRouter()) && !i.equals(name) && !closed.contains(i)) {
                older.add(i);
            }
        });
        superseded.addAll(older);
        routerOf.put(name, open.getRouter());
        return older;
    }

    boolean isOpen(String incarnation) {
        return routerOf.containsKey(incarnation)
                && !superseded.contains(incarnation)
                && !awaited.containsKey(incarnation)
                && !closed.contains(incarnation);
    }

    long close(CloseSession c) {
        if (closed.contains(c.getIncarnation())) {
            return 0;
        }
        Set<String> left = new HashSet<>(c.getOrderly() ? List.of() : c.getAwaitedAgentsList());
        left.removeAll(confirmed.getOrDefault(c.getIncarnation(), Set.of()));
        awaited.put(c.getIncarnation(), left);
        return left.isEmpty() ? release(c.getIncarnation()) : 0;
    }

    long confirm(ConfirmFence c) {
        String name = c.getIncarnation();
        if (closed.contains(name) || !superseded.contains(name) && !awaited.containsKey(name)) {
            return 0;
        }
        confirmed.computeIfAbsent(name, i -> new HashSet<>()).add(c.getAgent());
        Set<String> left = awaited.get(name);
        if (left == null) {
            return 0;
        }
        left.remove(c.getAgent());
        return left.isEmpty() ? release(name) : 0;
    }

    private long release(String incarnation) {
        closed.add(incarnation);
        long sum = 0;
        for (NaiveGrant g : grants) {
            if (g.incarnation.equals(incarnation)) {
                sum += g.outstanding();
                g.closed = true;
            }
        }
        return sum;
    }

    /** Returns the outcome and amount according to the demand policy. */
    GrantResult request(RequestGrant request) {
        String account = request.getBudget().getAccount();
        if (!isOpen(request.getIncarnation())) {
            return answer(GrantResult.Outcome.UNKNOWN_SESSION, 0);
        }
        if (!topUps.containsKey(account)) {
            return answer(GrantResult.Outcome.UNKNOWN_BUDGET, 0);
        }
        for (NaiveGrant g : grants) {
            if (g.id.equals(request.getGrantId())) {
                return answer(GrantResult.Outcome.GRANTED, g.outstanding() > 0 ? g.amount : 0);
            }
        }
        long count = Long.parseLong(
                request.getGrantId().substring(request.getGrantId().lastIndexOf('-') + 1));
        if (newestRequest.merge(key(account, request.getIncarnation()), count, Math::max) > count) {
            // A newer request of the same router has already been processed.
            return answer(GrantResult.Outcome.GRANTED, 0);
        }
        if (refusedRequests.containsKey(request.getGrantId())) {
            return answer(refusedRequests.get(request.getGrantId()), 0);
        }
        long available = prepaid(account) - settled(account) - held(account);
        if (available < request.getMinimum()) {
            boolean mayFit = held(account) > 0 && request.getMinimum() <= prepaid(account) - settled(account);
            GrantResult.Outcome o = mayFit ? GrantResult.Outcome.HELD : GrantResult.Outcome.SPENT;
            refusedRequests.put(request.getGrantId(), o);
            return answer(o, 0);
        }
        Set<String> holders = new HashSet<>(Set.of(request.getIncarnation()));
        grants.stream()
                .filter(g -> g.account.equals(account) && g.outstanding() > 0)
                .forEach(g -> holders.add(g.incarnation));
        long amount = Math.max(request.getMinimum(), Math.min(request.getWanted(), available / (4L * holders.size())));
        grants.add(new NaiveGrant(request.getGrantId(), request.getIncarnation(), account, amount));
        return answer(GrantResult.Outcome.GRANTED, amount);
    }

    private static GrantResult answer(GrantResult.Outcome outcome, long amount) {
        return GrantResult.newBuilder().setOutcome(outcome).setAmount(amount).build();
    }

    long reduce(GrantTotal total) {
        for (NaiveGrant g : grants) {
            if (g.id.equals(total.getGrantId()) && !g.closed && total.getReturnedTotal() > g.returned) {
                long more = total.getReturnedTotal() - g.returned;
                g.returned = total.getReturnedTotal();
                return more;
            }
        }
        return 0;
    }

    /** Returns "billed", "duplicate" or "rejected". */
    String settle(Usage u) {
        Usage bill = bills.get(key(u.getBudget().getAccount(), u.getRequestId()));
        if (bill != null) {
            boolean isSecondRun = !bill.getGrantId().equals(u.getGrantId());
            String run = key(u.getBudget().getAccount(), u.getRequestId()) + u.getGrantId();
            if (isSecondRun && secondRuns.add(run)) {
                grants.stream()
                        .filter(g -> g.id.equals(u.getGrantId()) && g.outstanding() >= u.getTokens() + u.getReturned())
                        .forEach(g -> g.settled += u.getTokens() + u.getReturned());
            }
            return "duplicate";
        }
        for (NaiveGrant g : grants) {
            if (g.id.equals(u.getGrantId())
                    && g.outstanding() > 0
                    && g.outstanding() >= u.getTokens() + u.getReturned()) {
                g.settled += u.getTokens() + u.getReturned();
                bills.put(key(u.getBudget().getAccount(), u.getRequestId()), u);
                NaiveRequest r = requests.get(key(u.getBudget().getAccount(), u.getRequestId()));
                if (r != null) {
                    r.state = RunState.RUN_RAN;
                }
                return "billed";
            }
        }
        return "rejected";
    }

    ClaimResult.Outcome claim(Claim c) {
        String key = key(c.getBudget().getAccount(), c.getRequestId());
        NaiveRequest r = requests.get(key);
        if (r == null && !bills.containsKey(key)) {
            requests.put(key, new NaiveRequest(c));
            return ClaimResult.Outcome.FRESH;
        }
        if (r == null) {
            return ClaimResult.Outcome.RAN;
        }
        if (!r.claim.getDigest().equals(c.getDigest())) {
            return ClaimResult.Outcome.CONFLICT;
        }
        boolean mayReplace = r.state == RunState.RUN_RUNNING
                || r.state == RunState.RUN_NOT_RUN
                || r.state == RunState.RUN_UNKNOWN && c.getRepeatable();
        if (c.getReplacesAttempt() == r.attempt && mayReplace) {
            r.attempt++;
            r.state = RunState.RUN_RUNNING;
            return ClaimResult.Outcome.FRESH;
        }
        return switch (r.state) {
            case RUN_RUNNING -> ClaimResult.Outcome.RUNNING;
            case RUN_RAN -> ClaimResult.Outcome.RAN;
            case RUN_NOT_RUN -> ClaimResult.Outcome.NOT_RUN;
            default -> ClaimResult.Outcome.UNKNOWN;
        };
    }

    void resolve(Resolve resolve) {
        NaiveRequest r = requests.get(key(resolve.getBudget().getAccount(), resolve.getRequestId()));
        if (r != null && r.attempt == resolve.getAttempt() && r.state == RunState.RUN_RUNNING) {
            r.state = resolve.getRun();
        }
    }

    static String key(String account, String requestId) {
        return account + '\n' + requestId;
    }

    /** One grant with its whole history. */
    static final class NaiveGrant {
        final String id;
        final String incarnation;
        final String account;
        final long amount;
        long settled;
        long returned;
        boolean closed;

        NaiveGrant(String id, String incarnation, String account, long amount) {
            this.id = id;
            this.incarnation = incarnation;
            this.account = account;
            this.amount = amount;
        }

        long outstanding() {
            return closed ? 0 : amount - settled - returned;
        }
    }

    /** One claimed request. */
    static final class NaiveRequest {
        final Claim claim;
        int attempt = 1;
        RunState state = RunState.RUN_RUNNING;

        NaiveRequest(Claim claim) {
            this.claim = claim;
        }
    }
}
