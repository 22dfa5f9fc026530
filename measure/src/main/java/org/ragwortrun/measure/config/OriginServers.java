package org.ragwortrun.measure.config;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.measure.fleet.Fleet;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.router.internal.forward.HeaderNames;

/** One endpoint for each of some origins, which answers with the number of its origin. */
final class OriginServers implements AutoCloseable {
    /** Number of origins, more than there are changes while a router stands still and for two seconds before. */
    static final int COUNT = 32;

    private static final String HOST = "127.0.0.1";
    private static final int OK = 200;

    private final Closer closer = new Closer();
    private final int[] ports = new int[COUNT];

    /** Starts the endpoints. */
    OriginServers(Fleet fleet) throws FleetException, IOException {
        for (int i = 0; i < COUNT; i++) {
            ports[i] = fleet.freePort();
            HttpServer server = HttpServer.create(new InetSocketAddress(HOST, ports[i]), 0);
            byte[] body = Integer.toString(i).getBytes(StandardCharsets.US_ASCII);
            server.createContext("/", e -> answer(e, body));
            server.start();
            closer.register(() -> server.stop(0));
        }
    }

    /** Returns the name of the origin that a configuration moves the route to. */
    static String origin(int number) {
        return "o" + number % COUNT;
    }

    /** Returns the arguments of a router: each endpoint with its origin. */
    List<String> routerArguments() {
        return IntStream.range(0, COUNT)
                .mapToObj(i -> origin(i) + "@" + HOST + ":" + ports[i])
                .toList();
    }

    private static void answer(HttpExchange e, byte[] body) throws IOException {
        e.getRequestBody().readAllBytes();
        HeaderNames names = HeaderNames.STANDARD;
        String id = e.getRequestHeaders().getFirst(names.requestId());
        e.getResponseHeaders().set(names.requestId(), id);
        e.getResponseHeaders().set(names.proof(), id);
        e.sendResponseHeaders(OK, body.length);
        e.getResponseBody().write(body);
        e.close();
    }

    @Override
    public void close() {
        closer.close();
    }
}
