package org.ragwortrun.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/** Forecasts output lengths by exponential moving averages for each route and client account. Thread-safe. */
public final class OutputForecast {
    private static final double SMOOTHING_FACTOR = 0.1;
    // Number of requests after which the mean of a client account weighs as much as that of its route.
    private static final double ROUTE_MEAN_WEIGHT = 5;
    private static final int MAX_MEANS = 50_000;

    private record Key(String route, String account) {}

    private static final class Mean {
        private double value;
        private long samples;

        void add(double sample) {
            samples++;
            value += (sample - value) * Math.max(SMOOTHING_FACTOR, 1.0 / samples);
        }
    }

    private final Map<Key, Mean> means = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Mean> eldest) {
            return size() > MAX_MEANS;
        }
    };

    /** Records the output of a finished request in tokens. */
    public synchronized void onFinished(String route, String account, long outputTokens) {
        means.computeIfAbsent(new Key(route, ""), k -> new Mean()).add(outputTokens);
        means.computeIfAbsent(new Key(route, account), k -> new Mean()).add(outputTokens);
    }

    /** Returns the expected output of a request in tokens, at most {@code maxOutput}. */
    public synchronized double expect(String route, String account, long maxOutput) {
        Mean general = means.get(new Key(route, ""));
        if (general == null) {
            return maxOutput;
        }
        Mean own = means.get(new Key(route, account));
        double weight = own == null ? 0 : own.samples / (own.samples + ROUTE_MEAN_WEIGHT);
        double mean = own == null ? general.value : weight * own.value + (1 - weight) * general.value;
        return Math.min(maxOutput, mean);
    }
}
