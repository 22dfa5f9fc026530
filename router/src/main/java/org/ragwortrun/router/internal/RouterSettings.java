package org.ragwortrun.router.internal;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import org.ragwortrun.core.config.RegionMap;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.core.settings.SettingsException;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.AddressException;
import org.ragwortrun.net.control.ControlMembers;
import org.ragwortrun.router.internal.flow.FlowSettings;
import org.ragwortrun.router.internal.http.HttpSettings;

/**
 * Settings of the router daemon.
 *
 * @param name name of this router
 * @param dataCenter data center of this router
 * @param metricsPort port of the metrics endpoint, 0 to disable it
 * @param metricsHost address of the metrics endpoint
 * @param members control members by name
 * @param shards number of shard groups
 * @param httpAddress address for callers
 * @param http limits of the HTTP server
 * @param maxRequests maximum number of concurrent requests
 * @param bufferMemory maximum number of bytes of answers that wait for readers
 * @param accountBufferMemory the same for one client account
 * @param grantTimeout maximum wait for tokens
 * @param registerTimeout maximum wait for the register of request ids
 * @param stopTimeout maximum wait for running requests when the router stops
 * @param hostList HTTP URL or file of the platform's host list, empty for none
 * @param flow settings of the request flow; the incarnation is empty
 */
public record RouterSettings(
        String name,
        String dataCenter,
        int metricsPort,
        String metricsHost,
        Map<String, Address> members,
        int shards,
        Address httpAddress,
        HttpSettings http,
        int maxRequests,
        long bufferMemory,
        long accountBufferMemory,
        Duration grantTimeout,
        Duration registerTimeout,
        Duration stopTimeout,
        String hostList,
        FlowSettings flow) {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_SHARDS = 4096;
    private static final long MIB = 1 << 20;
    private static final long MAX_MEMORY = 1L << 40;
    // A request body is sent to the agent in one frame of at most 16 MiB.
    private static final long MAX_BODY = 15 * MIB;

    /**
     * Reads and checks the settings.
     *
     * @throws SettingsException with all invalid values
     */
    public static RouterSettings read(Settings s) throws SettingsException {
        String name = s.text("daemon.name");
        String dataCenter = s.text("daemon.data-center");
        HttpSettings http = new HttpSettings(
                (int) s.number("http.threads", 2, 1, 64),
                (int) s.number("http.max-connections", 32_768, 1, 1_000_000),
                (int) s.number("http.max-body", 4 * MIB, 1, MAX_BODY),
                s.number("http.body-memory", 256 * MIB, 1, MAX_MEMORY),
                s.duration("http.head-timeout", Duration.ofSeconds(10)),
                s.duration("http.body-timeout", Duration.ofSeconds(30)),
                s.duration("http.idle-timeout", Duration.ofSeconds(75)));
        FlowSettings flow = new FlowSettings(
                name,
                "",
                dataCenter,
                s.duration("agents.reattach-wait", Duration.ofMillis(300)),
                s.duration("agents.query-wait", Duration.ofSeconds(1)),
                s.duration("agents.call-timeout", Duration.ofSeconds(1)),
                s.duration("streams.stall-timeout", Duration.ofMinutes(5)),
                (int) s.number("streams.resume-bytes", 256 << 10, 0, 8 * MIB),
                RegionMap.read(s));
        RouterSettings settings = new RouterSettings(
                name,
                dataCenter,
                (int) s.number("daemon.metrics-port", 0, 0, MAX_PORT),
                s.text("daemon.metrics-host", "127.0.0.1"),
                ControlMembers.read(s),
                (int) s.number("cluster.shards", 4, 1, MAX_SHARDS),
                address(s),
                http,
                (int) s.number("http.max-requests", 16_384, 1, 1_000_000),
                s.number("streams.memory", 256 * MIB, 1, MAX_MEMORY),
                s.number("streams.account-memory", 64 * MIB, 1, MAX_MEMORY),
                s.duration("budgets.grant-timeout", Duration.ofMillis(1_500)),
                s.duration("register.timeout", Duration.ofMillis(1_500)),
                s.duration("daemon.stop-timeout", Duration.ofMinutes(10)),
                hostList(s),
                flow);
        s.check();
        return settings;
    }

    /** Returns the settings of the flow with the incarnation of this process. */
    FlowSettings flow(String incarnation) {
        return new FlowSettings(
                flow.name(),
                incarnation,
                flow.dataCenter(),
                flow.reattachWait(),
                flow.queryWait(),
                flow.callTimeout(),
                flow.stallTimeout(),
                flow.resumeBytes(),
                flow.regions());
    }

    private static String hostList(Settings s) {
        String source = s.text("platform.host-list", "");
        if (!source.isEmpty() && !isValidSource(source)) {
            s.reject("platform.host-list", "must be an http:// URL or a file name, not " + source);
        }
        return source;
    }

    private static boolean isValidSource(String source) {
        try {
            return source.startsWith("http://")
                    ? URI.create(source).getHost() != null
                    : Path.of(source).getFileName() != null;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static Address address(Settings s) {
        try {
            return Address.parse(s.text("http.address"));
        } catch (AddressException e) {
            s.reject("http.address", String.valueOf(e.getMessage()));
            return new Address("127.0.0.1", 0);
        }
    }
}
