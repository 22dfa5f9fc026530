package org.ragwortrun.standins;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Stand-in for the platform's list of live and leaving hosts. {@code GET /hosts} shows each change after a lag. */
public final class HostList implements AutoCloseable {
    private record Change(long atNanos, String host, String state) {}

    private final StandinServer server;
    private final String host;
    private final long lagNanos;
    private final Deque<Change> pending = new ArrayDeque<>();
    private final Map<String, String> visibleHosts = new LinkedHashMap<>();

    private HostList(String host, int port, int lagMs) throws IOException {
        this.host = host;
        lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMs);
        server = new StandinServer(host, port, (request, response, context) -> {
            if ("/hosts".equals(request.getPath())) {
                StandinServer.answer(response, 200, Map.of("hosts", visibleHosts()));
            } else {
                StandinServer.error(response, 404, "no such path");
            }
        });
    }

    /** Starts a list that shows each change after a lag. */
    public static HostList start(String host, int port, int lagMs) throws IOException {
        HostList list = new HostList(host, port, lagMs);
        list.server.start();
        return list;
    }

    public String url() {
        return "http://" + host + ":" + server.port() + "/hosts";
    }

    public int port() {
        return server.port();
    }

    public void setLive(String name) {
        addChange(name, "live");
    }

    public void setLeaving(String name) {
        addChange(name, "leaving");
    }

    public void remove(String name) {
        addChange(name, "");
    }

    @Override
    public void close() {
        server.close();
    }

    private synchronized void addChange(String name, String state) {
        pending.add(new Change(System.nanoTime(), name, state));
    }

    private synchronized Map<String, String> visibleHosts() {
        long now = System.nanoTime();
        while (true) {
            Change c = pending.peek();
            if (c == null || now - c.atNanos() < lagNanos) {
                return new LinkedHashMap<>(visibleHosts);
            }
            pending.remove();
            if (c.state().isEmpty()) {
                visibleHosts.remove(c.host());
            } else {
                visibleHosts.put(c.host(), c.state());
            }
        }
    }
}
