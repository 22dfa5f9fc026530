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
     * Bounds of memory.
     *
     * @param bodyBytes largest request body
     * @param queueLength requests that may wait
     * @param queueBytes bodies that may wait, together
     * @param streamUnsent bytes of one answer that may wait for credit before the agent stops reading
     * @param totalUnsent bytes of all answers that may wait for credit before the agent stops reading
     * @param answerBytes bytes kept of one answer
     * @param storeBytes bytes kept of all finished answers
     * @param tombstones tombstones before a new incarnation is taken
     * @param remembered attempts that are remembered before a new incarnation is taken
     * @param outbox usage records that may wait for a shard
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
     * Times.
     *
     * @param queueWait longest wait of an accepted request
     * @param maxRun longest run of a request that names no deadline
     * @param answerTime time for which a finished answer is kept
     * @param connect time for connecting to the endpoint
     * @param idle time without a byte after which a connection to the endpoint is given up
     * @param healthInterval time between health checks
     * @param deadAfter time without an answer to a health check after which running requests are given up
     * @param stop longest wait for running requests when the agent stops
     * @param dedupePause time between repeats of a request whose outcome is unknown
     * @param dedupeRepeats number of such repeats
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
     * @throws SettingsException naming every key that is wrong
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
            // reported below with the URLs of another form
        }
        s.reject(key, "must have the form http://ip:port, not " + text);
        return URI.create("http://127.0.0.1:1");
    }
}
