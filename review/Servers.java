import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

/** A sound server of one service, as PROTOCOL.md describes it, with a list of what it has run. */
final class Servers {
    final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final String id;
    private final HttpServer server;

    Servers(String id, String host, int port) throws IOException {
        this.id = id;
        server = HttpServer.create(new InetSocketAddress(host, port), 128);
        server.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
        }));
        server.createContext("/", this::serve);
        server.start();
    }

    private void serve(HttpExchange x) throws IOException {
        String request = x.getRequestHeaders().getFirst("X-Request-Id");
        String expected = x.getRequestHeaders().getFirst("X-Expect-Instance");
        long size = x.getRequestBody().transferTo(java.io.OutputStream.nullOutputStream());
        x.getResponseHeaders().set("X-Instance-Id", id);
        if (request != null) {
            x.getResponseHeaders().set("X-Request-Id", request);
        }
        if (expected != null && !expected.equals(id)) {
            answer(x, 421, "");
            return;
        }
        if (request == null) {
            answer(x, 200, "ok");
            return;
        }
        runs.merge(request, 1, Integer::sum);
        x.getResponseHeaders().set("X-Server-Signature", id + "." + request);
        answer(x, 200, x.getRequestURI().getPath() + " " + size);
    }

    private static void answer(HttpExchange x, int status, String body) throws IOException {
        byte[] text = body.getBytes(StandardCharsets.UTF_8);
        if (x.getRequestMethod().equals("HEAD")) {
            x.getResponseHeaders().set("Content-Length", Integer.toString(text.length));
            x.sendResponseHeaders(status, -1);
            x.close();
            return;
        }
        x.sendResponseHeaders(status, text.length == 0 ? -1 : text.length);
        if (text.length > 0) {
            x.getResponseBody().write(text);
        }
        x.close();
    }
}
