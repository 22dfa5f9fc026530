package org.ragwortrun.router.internal.forward;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.core.settings.SettingsException;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.AddressException;
import org.ragwortrun.net.control.ControlMembers;

/**
 * Settings of a router that forwards to origins.
 *
 * @param name name of this router
 * @param dataCenter data center of this router
 * @param metricsHost address at which metrics are served
 * @param metricsPort port at which metrics are served, 0 for none
 * @param members control members by name
 * @param shards number of shard groups
 * @param callers address for callers
 * @param readiness address at which a load balancer checks whether this router is ready
 * @param peers address at which this router accepts reservations of other routers, if it does
 * @param grantTimeout longest wait for tokens
 * @param denialAge time since the last confirmed configuration for which requests may be denied by it
 * @param hold time for whose demand a router holds tokens, so that it can serve while it cannot reach control
 * @param retryRatio retries allowed per request to an origin
 * @param retrySlack retries that this router may make per window in addition to the ratio
 * @param sharedRetrySlack the same for all routers together; replaces {@code retrySlack} unless it is 0
 * @param retryWindow window over which requests and retries are counted
 * @param longestPause longest time for which an endpoint may ask to get no requests
 * @param stopLinger time after the start of a stop during which new connections are still served
 * @param stopTimeout longest time that a stop waits for running requests
 * @param scheduling settings of the decisions under load
 */
public record ForwardSettings(
        String name,
        String dataCenter,
        String metricsHost,
        int metricsPort,
        Map<String, Address> members,
        int shards,
        Address callers,
        Address readiness,
        Optional<Address> peers,
        Duration grantTimeout,
        Duration denialAge,
        Duration hold,
        double retryRatio,
        double retrySlack,
        double sharedRetrySlack,
        Duration retryWindow,
        Duration longestPause,
        Duration stopLinger,
        Duration stopTimeout,
        SchedulingSettings scheduling) {
    private static final Duration MIN_DENIAL_AGE = Duration.ofMillis(500);
    private static final Duration MAX_DENIAL_AGE = Duration.ofMinutes(1);
    private static final Duration LONGEST_CONFIRM_INTERVAL = Duration.ofSeconds(1);
    private static final int MAX_PORT = 65_535;
    private static final int MAX_SHARDS = 4_096;
    private static final int PERMILLE = 1_000;
    private static final int MAX_SHARED_SLACK = 1_000_000;
    // Leaves a margin because routers that have just started or stopped are counted late.
    private static final double SLACK_SHARE = 0.8;

    /**
     * Reads and checks the settings.
     *
     * @throws SettingsException with all values that cannot be used
     */
    public static ForwardSettings read(Settings s) throws SettingsException {
        ForwardSettings read = new ForwardSettings(
                s.text("daemon.name"),
                s.text("daemon.data-center"),
                s.text("daemon.metrics-host", "127.0.0.1"),
                (int) s.number("daemon.metrics-port", 0, 0, MAX_PORT),
                ControlMembers.read(s),
                (int) s.number("cluster.shards", 1, 1, MAX_SHARDS),
                address(s, "http.address"),
                address(s, "http.readiness"),
                s.text("peers.address", "").isBlank() ? Optional.empty() : Optional.of(address(s, "peers.address")),
                s.duration("budgets.grant-timeout", Duration.ofMillis(300)),
                denialAge(s),
                s.duration("budgets.hold", Duration.ofSeconds(12)),
                (double) s.number("retries.ratio-permille", 100, 0, PERMILLE) / PERMILLE,
                s.number("retries.slack", 5, 0, PERMILLE),
                s.decimal("retries.shared-slack", 0, 0, MAX_SHARED_SLACK),
                s.duration("retries.window", Duration.ofSeconds(10)),
                s.duration("endpoints.longest-pause", Duration.ofMinutes(5)),
                s.duration("daemon.stop-linger", Duration.ofMillis(2_900)),
                s.duration("daemon.stop-timeout", Duration.ofMillis(7_100)),
                SchedulingSettings.read(s));
        s.check();
        return read;
    }

    /** Returns the interval of confirmations, which leaves time to repeat one before the last is too old for denials. */
    Duration confirmInterval() {
        Duration half = denialAge.dividedBy(2);
        return half.compareTo(LONGEST_CONFIRM_INTERVAL) < 0 ? half : LONGEST_CONFIRM_INTERVAL;
    }

    /** Returns the retries per window in addition to the ratio that each of a number of routers may make. */
    double retrySlack(int routers) {
        return sharedRetrySlack == 0 ? retrySlack : sharedRetrySlack * SLACK_SHARE / Math.max(1, routers);
    }

    private static Duration denialAge(Settings s) {
        String key = "control.denial-age";
        Duration age = s.duration(key, Duration.ofSeconds(2));
        if (age.compareTo(MIN_DENIAL_AGE) < 0 || age.compareTo(MAX_DENIAL_AGE) > 0) {
            s.reject(key, "must be from 500ms to 60s");
        }
        return age;
    }

    private static Address address(Settings s, String key) {
        try {
            return Address.parse(s.text(key));
        } catch (AddressException e) {
            s.reject(key, String.valueOf(e.getMessage()));
            return new Address("127.0.0.1", 0);
        }
    }
}
