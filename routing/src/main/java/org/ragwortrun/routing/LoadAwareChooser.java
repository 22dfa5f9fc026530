package org.ragwortrun.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntUnaryOperator;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.LoadReport;

/**
 * Takes the endpoint with the shortest expected wait among a few picked at random.
 *
 * <p>The work of one decision does not depend on the number of candidates, except for a cheap hash of each when the
 * prompt has a prefix. The endpoint to which the prefix hashes is always among those compared, and is credited with the
 * prefill that it saves as long as its load is near that of the others.
 */
public final class LoadAwareChooser implements EndpointChooser {
    private static final int SAMPLES = 4;
    private static final double DEFAULT_TOKENS_PER_SECOND = 50;
    // Prefill handles many tokens at a time and is that much faster than decoding.
    private static final double PREFILL_SPEEDUP = 50;
    // A round trip between data centers; it also makes equal endpoints of the router's data center win.
    private static final double OTHER_DATA_CENTER_SECONDS = 0.005;
    private static final long SLOW_START_NANOS = 30_000_000_000L;
    // Without a floor, a fresh endpoint would get no work and its share could not grow with its successes.
    private static final double SLOW_START_FLOOR = 0.1;
    // An endpoint busier than this multiple of the sampled mean loses its prefix credit.
    private static final double AFFINITY_BOUND = 1.25;
    private static final int MOST_ENDPOINTS = 4_096;
    // Requests with lower numbers go ahead of queued ones with higher numbers.
    private static final double NEUTRAL_PRIORITY = 5;

    private record Seen(String incarnation, long since, boolean fresh) {}

    private final IntUnaryOperator random;
    private final Time time;
    private final OutputForecast outputs;
    private final long startedAt;
    private final Map<String, Seen> seen = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Seen> eldest) {
            return size() > MOST_ENDPOINTS;
        }
    };

    /**
     * Creates a chooser.
     *
     * @param random returns a number from 0 to its argument, exclusive; must be thread-safe
     * @param outputs expected output, learned from {@link #onOutput}
     */
    public LoadAwareChooser(IntUnaryOperator random, Time time, OutputForecast outputs) {
        this.random = random;
        this.time = time;
        this.outputs = outputs;
        startedAt = time.nanos();
    }

    @Override
    public Optional<EndpointCandidate> choose(ChoiceRequest request, List<EndpointCandidate> candidates) {
        int size = candidates.size();
        if (size <= 1) {
            return size == 0 ? Optional.empty() : Optional.of(candidates.get(0));
        }
        double output = outputs.expect(request.route(), request.account(), Math.max(1, request.maxOutput()));
        EndpointCandidate[] compared = sample(request, candidates);
        double meanLoad = meanLoad(compared);
        EndpointCandidate best = compared[0];
        double bestScore = Double.POSITIVE_INFINITY;
        for (int i = 0; i < compared.length; i++) {
            boolean cached = i == 0 && request.prefixHash() != 0 && load(compared[i]) <= AFFINITY_BOUND * meanLoad;
            double score = seconds(request, compared[i], output, cached);
            if (score < bestScore) {
                best = compared[i];
                bestScore = score;
            }
        }
        return Optional.of(best);
    }

    @Override
    public void onOutput(String route, String account, long tokens) {
        outputs.onFinished(route, account, tokens);
    }

    /** Returns different candidates; the first is the owner of the prefix, if there is one. */
    private EndpointCandidate[] sample(ChoiceRequest request, List<EndpointCandidate> candidates) {
        int size = candidates.size();
        int[] picked = new int[Math.min(size, SAMPLES)];
        picked[0] = request.prefixHash() == 0 ? random.applyAsInt(size) : owner(request.prefixHash(), candidates);
        for (int n = 1; n < picked.length; n++) {
            int at = random.applyAsInt(size);
            while (contains(picked, n, at)) {
                at = at + 1 == size ? 0 : at + 1;
            }
            picked[n] = at;
        }
        EndpointCandidate[] sample = new EndpointCandidate[picked.length];
        for (int n = 0; n < picked.length; n++) {
            sample[n] = candidates.get(picked[n]);
        }
        return sample;
    }

    private static boolean contains(int[] picked, int count, int at) {
        for (int i = 0; i < count; i++) {
            if (picked[i] == at) {
                return true;
            }
        }
        return false;
    }

    /** Rendezvous hashing: a change of one endpoint moves only the prefixes of that endpoint. */
    private static int owner(long prefix, List<EndpointCandidate> candidates) {
        int owner = 0;
        long highest = Long.MIN_VALUE;
        for (int i = 0; i < candidates.size(); i++) {
            long hash = mix(prefix ^ mix(candidates.get(i).name().hashCode()));
            if (hash > highest) {
                highest = hash;
                owner = i;
            }
        }
        return owner;
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    private static double meanLoad(EndpointCandidate[] compared) {
        double sum = 0;
        for (EndpointCandidate c : compared) {
            sum += load(c);
        }
        // Half a request of slack: otherwise the first request of an idle fleet would break the affinity.
        return sum / compared.length + 0.5 / Math.max(1, compared[0].slots());
    }

    /** Requests at the endpoint in relation to its slots. */
    private static double load(EndpointCandidate c) {
        return requests(c) / Math.max(1, c.slots());
    }

    /**
     * The report covers all routers and lags; this router's own count is exact. What this router has started since the
     * report is not in it.
     */
    private static double requests(EndpointCandidate c) {
        double reported = c.load().map(r -> r.getRunning() + r.getQueued()).orElse(0);
        return Math.max(c.inFlight(), reported + c.startedSinceReport());
    }

    private double seconds(ChoiceRequest request, EndpointCandidate c, double output, boolean cached) {
        // A fresh endpoint counts as having fewer slots.
        double slots = Math.max(1, c.slots() * warmth(c));
        double perSecond =
                c.load().map(LoadReport::getTokensPerSecond).filter(t -> t > 0).orElse(DEFAULT_TOKENS_PER_SECOND);
        double requests = requests(c);
        double waiting = Math.max(0, requests + 1 - slots);
        // A request with a low number passes most of those that wait, one with a high number passes few.
        double ahead = waiting * Math.min(1, (request.priority() + 1) / (NEUTRAL_PRIORITY + 1));
        double run = output / perSecond;
        double wait = ahead * run / slots;
        double prefill = cached ? 0 : request.promptBound() / (perSecond * PREFILL_SPEEDUP);
        double memory = c.load().map(LoadAwareChooser::memoryShare).orElse(0.0);
        // Batches slow down as slots and KV cache fill.
        double crowding = run * Math.max(Math.min(1, requests / slots), memory);
        double distance = c.dataCenter().equals(request.dataCenter()) ? 0 : OTHER_DATA_CENTER_SECONDS;
        return wait + prefill + crowding + distance;
    }

    private static double memoryShare(LoadReport report) {
        return report.getKvTokensCapacity() <= 0 ? 0 : (double) report.getKvTokensUsed() / report.getKvTokensCapacity();
    }

    /** Returns the part of the full share that an endpoint may take, which grows after its agent was first seen. */
    private double warmth(EndpointCandidate c) {
        long now = time.nanos();
        Seen s;
        synchronized (seen) {
            s = seen.get(c.name());
            if (s == null || !s.incarnation().equals(c.agentIncarnation())) {
                // What is there when the router starts is not fresh.
                boolean fresh = s != null || now - startedAt > SLOW_START_NANOS;
                s = new Seen(c.agentIncarnation(), now, fresh);
                seen.put(c.name(), s);
            }
        }
        double age = (double) (now - s.since()) / SLOW_START_NANOS;
        return s.fresh() ? Math.max(SLOW_START_FLOOR, Math.min(1, age)) : 1;
    }
}
