package org.ragwortrun.standins;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The platform's list of live and leaving hosts at {@code GET /hosts}, which shows each change late. */
public final class HostList implements AutoCloseable {
    private record Change(long atNanos, String host, String state) {}

    private final StandinServer server;
    private final String host;
    private final long lagNanos;
    private final Deque<Change> pending = new ArrayDeque<>();
    private final Map<String, String> shown = new LinkedHashMap<>();

    private HostList(String host, int port, int lagMs) throws IOException {
        this.host = host;
        lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMs);
        server = new StandinServer(host, port, (request, response, context) -> {
            if ("/hosts".equals(request.getPath())) {
                StandinServer.answer(response, 200, Map.of("hosts", shown()));
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

    public void live(String name) {
        change(name, "live");
    }

    public void leaving(String name) {
        change(name, "leaving");
    }

    public void gone(String name) {
        change(name, "");
    }

    @Override
    public void close() {
        server.close();
    }

    private synchronized void change(String name, String state) {
        pending.add(new Change(System.nanoTime(), name, state));
    }

    private synchronized Map<String, String> shown() {
        long now = System.nanoTime();
        while (true) {
            Change c = pending.peek();
            if (c == null || now - c.atNanos() < lagNanos) {
                return new LinkedHashMap<>(shown);
            }
            pending.remove();
            if (c.state().isEmpty()) {
                shown.remove(c.host());
            } else {
                shown.put(c.host(), c.state());
            }
        }
    }
}
