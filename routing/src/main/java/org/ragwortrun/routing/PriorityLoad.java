package org.ragwortrun.routing;

import java.util.HashMap;
import java.util.Map;

/** Recent requests of one priority by client account, and the part of each account's requests that is shed. */
final class PriorityLoad {
    private static final int MAX_PRIORITY = 15;
    private static final int MAX_ACCOUNTS = 512;
    private static final String OTHERS = "";
    private static final double WINDOW_SECONDS = 1;
    private static final double FORGOTTEN_PER_SECOND = 0.02;

    private final Map<String, AccountLoad> accounts = new HashMap<>();

    private static final class AccountLoad {
        private double perSecond;
        private double shedShare;
        private double due;
    }

    /** Returns a priority that limits the number of objects; less urgent ones count as the least urgent. */
    static int clamp(int priority) {
        return Math.min(MAX_PRIORITY, Math.max(0, priority));
    }

    boolean accepts(String account) {
        boolean known = accounts.containsKey(account) || accounts.size() < MAX_ACCOUNTS;
        AccountLoad a = accounts.computeIfAbsent(known ? account : OTHERS, k -> new AccountLoad());
        a.perSecond += 1 / WINDOW_SECONDS;
        a.due += a.shedShare;
        boolean accepted = a.due < 1;
        a.due -= accepted ? 0 : 1;
        return accepted;
    }

    void decay(double seconds) {
        double factor = Math.exp(-seconds / WINDOW_SECONDS);
        accounts.values().forEach(a -> a.perSecond *= factor);
        accounts.values().removeIf(a -> a.perSecond < FORGOTTEN_PER_SECOND);
    }

    double perSecond() {
        return accounts.values().stream().mapToDouble(a -> a.perSecond).sum();
    }

    /** Sets the requests per second to shed, taken from the accounts above the level that the others stay below. */
    void shed(double shedPerSecond) {
        if (shedPerSecond <= 0) {
            accounts.values().forEach(a -> {
                a.shedShare = 0;
                a.due = 0;
            });
            return;
        }
        double level = level(perSecond() - shedPerSecond);
        accounts.values().forEach(a -> a.shedShare = Math.max(0, a.perSecond - level) / a.perSecond);
    }

    /** Returns the level that limits the accounts so that together they keep a number of requests per second. */
    private double level(double kept) {
        double left = Math.max(0, kept);
        int count = accounts.size();
        for (double rate : accounts.values().stream()
                .mapToDouble(a -> a.perSecond)
                .sorted()
                .toArray()) {
            if (rate * count >= left) {
                return left / count;
            }
            left -= rate;
            count--;
        }
        return Double.POSITIVE_INFINITY;
    }
}
