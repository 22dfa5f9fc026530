package org.ragwortrun.router.internal.agents;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.net.http.DocumentReader;
import org.ragwortrun.net.http.EntryList;

/**
 * Reads the platform's list of live and leaving hosts.
 *
 * <p>A host is reported only when it becomes listed as leaving. The list lags behind: an entry that remains after
 * the host has restarted must not take the new agent out of service, and an entry that says live proves nothing.
 */
public final class HostListPoller implements Runnable {
    private static final Logger LOG = LogManager.getLogger(HostListPoller.class);
    private static final Duration IDLE_TIMEOUT = Duration.ofMillis(900);
    private static final Duration TOTAL_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_BYTES = 8 << 20;

    private final String source;
    private final Consumer<Set<String>> leavingListener;
    private final DocumentReader http = new DocumentReader(IDLE_TIMEOUT, TOTAL_TIMEOUT, MAX_BYTES);
    private Set<String> leavingHosts = Set.of();
    private boolean failing;

    /**
     * Creates a poller that reads the list once in each run.
     *
     * @param source HTTP URL or file name
     * @param leavingListener receives the hosts that are newly listed as leaving
     */
    public HostListPoller(String source, Consumer<Set<String>> leavingListener) {
        this.source = source;
        this.leavingListener = leavingListener;
    }

    @Override
    public void run() {
        try {
            update(EntryList.read(read(), "hosts").entries());
            failing = false;
        } catch (IOException e) {
            if (!failing) {
                Event.of("host-list-unreadable").with("source", source).warn(LOG, e);
            }
            failing = true;
        }
    }

    private byte[] read() throws IOException {
        if (!source.startsWith("http://")) {
            return Files.readAllBytes(Path.of(source));
        }
        return http.read(URI.create(source));
    }

    private void update(List<JsonNode> hosts) {
        Set<String> now = new HashSet<>();
        for (JsonNode host : hosts) {
            if ("leaving".equals(host.path("state").asText())) {
                now.add(host.path("name").asText());
            }
        }
        Set<String> added = new HashSet<>(now);
        added.removeAll(leavingHosts);
        leavingHosts = now;
        if (!added.isEmpty()) {
            Event.of("hosts-leaving").with("hosts", String.join(",", added)).info(LOG);
            leavingListener.accept(added);
        }
    }
}
