package org.ragwortrun.agent.internal;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.core.settings.SettingsException;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.AddressException;
import org.ragwortrun.net.control.ControlMembers;

/** Settings of an agent. */
public record AgentSettings(
        String name,
        String dataCenter,
        int metricsPort,
        Map<String, Address> control,
        int shards,
        Address listen,
        String endpoint,
        URI url,
        Limits limits,
        Timing timing) {

    /**
     * Limits on memory use.
     *
     * @param bodyBytes maximum size of a request body
     * @param queueLength maximum number of queued requests
     * @param queueBytes maximum total size of the bodies of queued requests
     * @param streamUnsent unsent bytes of one answer at which the agent stops reading it from the endpoint
     * @param totalUnsent unsent bytes of all answers together at which the agent stops reading from the endpoint
     * @param answerBytes maximum number of bytes kept of one answer
     * @param storeBytes maximum number of bytes kept of all finished answers
     * @param tombstones maximum number of tombstones in one incarnation
     * @param remembered maximum number of attempts recorded in one incarnation
     * @param outbox maximum number of usage records that no shard has acknowledged
     */
    public record Limits(
            int bodyBytes,
            int queueLength,
            int queueBytes,
            int streamUnsent,
            int totalUnsent,
            int answerBytes,
            long storeBytes,
            int tombstones,
            int remembered,
            int outbox) {}

    /**
     * Timeouts and intervals.
     *
     * @param queueWait maximum time that an accepted request is queued
     * @param maxRun maximum run time of a request without a deadline
     * @param answerTime time for which a finished answer is kept
     * @param connect timeout for connecting to the endpoint
     * @param idle time without received data after which a connection to the endpoint is closed
     * @param healthInterval time between health checks
     * @param deadAfter time without a successful health check after which running repeatable requests fail
     * @param stop maximum time to wait for running requests when the agent stops
     * @param dedupePause delay before each retry of a request whose outcome is unknown
     * @param dedupeRepeats maximum number of such retries
     */
    public record Timing(
            Duration queueWait,
            Duration maxRun,
            Duration answerTime,
            Duration connect,
            Duration idle,
            Duration healthInterval,
            Duration deadAfter,
            Duration stop,
            Duration dedupePause,
            int dedupeRepeats) {}

    /**
     * Reads and checks all settings.
     *
     * @throws SettingsException if settings are invalid; names every invalid key
     */
    public static AgentSettings read(Settings s) throws SettingsException {
        AgentSettings read = new AgentSettings(
                s.text("daemon.name"),
                s.text("daemon.data-center"),
                (int) s.number("daemon.metrics-port", 0, 0, 65_535),
                ControlMembers.read(s),
                (int) s.number("cluster.shards", 4, 1, 4_096),
                address(s, "agent.listen"),
                s.text("endpoint.name"),
                url(s, "endpoint.url"),
                limits(s),
                timing(s));
        s.check();
        return read;
    }

    private static Limits limits(Settings s) {
        return new Limits(
                (int) s.number("agent.body-limit", 1 << 20, 1 << 10, 15 << 20),
                (int) s.number("agent.queue-length", 64, 0, 100_000),
                (int) s.number("agent.queue-bytes", 8 << 20, 1 << 10, 1 << 30),
                (int) s.number("agent.stream-unsent", 64 << 10, 1 << 10, 16 << 20),
                (int) s.number("agent.total-unsent", 8 << 20, 1 << 10, 1 << 30),
                (int) s.number("agent.answer-limit", 256 << 10, 8 << 10, 64 << 20),
                s.number("agent.store-bytes", 8 << 20, 0, 1L << 34),
                (int) s.number("agent.tombstones", 100_000, 1, 10_000_000),
                (int) s.number("agent.remembered-requests", 200_000, 1, 10_000_000),
                (int) s.number("agent.outbox", 10_000, 1, 1_000_000));
    }

    private static Timing timing(Settings s) {
        return new Timing(
                s.duration("agent.queue-wait", Duration.ofSeconds(2)),
                s.duration("agent.max-run", Duration.ofMinutes(10)),
                s.duration("agent.answer-time", Duration.ofMinutes(5)),
                s.duration("endpoint.connect-timeout", Duration.ofSeconds(1)),
                s.duration("endpoint.idle-timeout", Duration.ofMinutes(2)),
                s.duration("endpoint.health-interval", Duration.ofMillis(500)),
                s.duration("endpoint.dead-after", Duration.ofSeconds(5)),
                s.duration("agent.stop-timeout", Duration.ofMinutes(10)),
                s.duration("endpoint.dedupe-pause", Duration.ofMillis(200)),
                (int) s.number("endpoint.dedupe-repeats", 20, 0, 1_000));
    }

    private static Address address(Settings s, String key) {
        String text = s.text(key);
        try {
            return Address.parse(text);
        } catch (AddressException e) {
            s.reject(key, String.valueOf(e.getMessage()));
            return new Address("127.0.0.1", 0);
        }
    }

    private static URI url(Settings s, String key) {
        String text = s.text(key);
        try {
            URI url = URI.create(text);
            if ("http".equals(url.getScheme()) && url.getHost() != null && url.getPort() > 0) {
                return url;
            }
        } catch (IllegalArgumentException e) {
            // Reported below, like URLs of another form.
        }
        s.reject(key, "must have the form http://ip:port, not " + text);
        return URI.create("http://127.0.0.1:1");
    }
}
