package org.ragwortrun.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntUnaryOperator;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.LoadReport;

/**
 * Chooses the endpoint with the shortest expected time among a few candidates sampled at random.
 *
 * <p>The cost of a decision does not depend on the number of candidates, except for a cheap hash of each when the
 * prompt has a prefix. The endpoint to which the prefix hashes is always in the sample. Its prefill counts as cached
 * unless its load is well above the mean of the sample.
 */
public final class LoadAwareChooser implements EndpointChooser {
    private static final int SAMPLE_SIZE = 4;
    private static final double DEFAULT_TOKENS_PER_SECOND = 50;
    // Prefill processes many tokens in parallel, so it is faster than decoding by this factor.
    private static final double PREFILL_SPEEDUP = 50;
    // Round-trip time between data centers; at equal load it favors endpoints in the router's data center.
    private static final double OTHER_DATA_CENTER_SECONDS = 0.005;
    private static final long SLOW_START_NANOS = 30_000_000_000L;
    // Minimum share during slow start, without which a new endpoint would receive no requests.
    private static final double SLOW_START_FLOOR = 0.1;
    // Above this multiple of the sample's mean load, the prefix owner's prefill no longer counts as cached.
    private static final double MAX_AFFINITY_LOAD_RATIO = 1.25;
    private static final int MAX_ENDPOINTS = 4_096;
    // Requests with a lower priority number overtake queued ones with a higher number.
    private static final double NEUTRAL_PRIORITY = 5;

    private record FirstSeen(String incarnation, long since, boolean fresh) {}

    private final IntUnaryOperator random;
    private final Time time;
    private final OutputForecast outputs;
    private final long startedAt;
    private final Map<String, FirstSeen> seen = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, FirstSeen> eldest) {
            return size() > MAX_ENDPOINTS;
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
            boolean cached =
                    i == 0 && request.prefixHash() != 0 && load(compared[i]) <= MAX_AFFINITY_LOAD_RATIO * meanLoad;
            double score = expectedSeconds(request, compared[i], output, cached);
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

    /** Returns distinct candidates; the first is the owner of the prefix if the request has one. */
    private EndpointCandidate[] sample(ChoiceRequest request, List<EndpointCandidate> candidates) {
        int size = candidates.size();
        int[] picked = new int[Math.min(size, SAMPLE_SIZE)];
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

    /** Finds the owner by rendezvous hashing: adding or removing an endpoint moves only the prefixes that it owns. */
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

    /** Applies the finalizer of SplitMix64. */
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
        // Half a request of slack, without which the first request on idle endpoints would break the prefix affinity.
        return sum / compared.length + 0.5 / Math.max(1, compared[0].slots());
    }

    /** Returns the ratio of an endpoint's requests to its slots. */
    private static double load(EndpointCandidate c) {
        return requests(c) / Math.max(1, c.slots());
    }

    /**
     * Returns the estimated number of requests on an endpoint. The load report covers all routers but is delayed, and
     * lacks what this router has started since; this router's own count is exact.
     */
    private static double requests(EndpointCandidate c) {
        double reported = c.load().map(r -> r.getRunning() + r.getQueued()).orElse(0);
        return Math.max(c.inFlight(), reported + c.startedSinceReport());
    }

    private double expectedSeconds(ChoiceRequest request, EndpointCandidate c, double output, boolean cached) {
        // During slow start, an endpoint counts as having fewer slots.
        double slots = Math.max(1, c.slots() * slowStartFactor(c));
        double perSecond =
                c.load().map(LoadReport::getTokensPerSecond).filter(t -> t > 0).orElse(DEFAULT_TOKENS_PER_SECOND);
        double requests = requests(c);
        double waiting = Math.max(0, requests + 1 - slots);
        // A request with a low priority number overtakes most waiting requests, one with a high number few.
        double ahead = waiting * Math.min(1, (request.priority() + 1) / (NEUTRAL_PRIORITY + 1));
        double run = output / perSecond;
        double wait = ahead * run / slots;
        double prefill = cached ? 0 : request.promptBound() / (perSecond * PREFILL_SPEEDUP);
        double memory = c.load().map(LoadAwareChooser::memoryShare).orElse(0.0);
        // Decoding slows down as slots and KV cache fill up.
        double contention = run * Math.max(Math.min(1, requests / slots), memory);
        double networkDelay = c.dataCenter().equals(request.dataCenter()) ? 0 : OTHER_DATA_CENTER_SECONDS;
        return wait + prefill + contention + networkDelay;
    }

    private static double memoryShare(LoadReport report) {
        return report.getKvTokensCapacity() <= 0 ? 0 : (double) report.getKvTokensUsed() / report.getKvTokensCapacity();
    }

    /**
     * Returns the fraction of its full share that an endpoint may receive; it grows from the time its agent is first
     * seen.
     */
    private double slowStartFactor(EndpointCandidate c) {
        long now = time.nanos();
        FirstSeen s;
        synchronized (seen) {
            s = seen.get(c.name());
            if (s == null || !s.incarnation().equals(c.agentIncarnation())) {
                // Endpoints first seen just after the router started may have run for long and need no slow start.
                boolean fresh = s != null || now - startedAt > SLOW_START_NANOS;
                s = new FirstSeen(c.agentIncarnation(), now, fresh);
                seen.put(c.name(), s);
            }
        }
        double age = (double) (now - s.since()) / SLOW_START_NANOS;
        return s.fresh() ? Math.max(SLOW_START_FLOOR, Math.min(1, age)) : 1;
    }
}
