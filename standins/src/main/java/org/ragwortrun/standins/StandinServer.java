package org.ragwortrun.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/** HTTP server of a stand-in. It can be stopped immediately and restarted on the same port. */
final class StandinServer implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();

    private static final int SOCKET_TIMEOUT_MINUTES = 10;
    private static final long REFUSAL_WAIT_NANOS = 500_000_000L;

    private final InetAddress address;
    private final HttpRequestHandler handler;
    private final AtomicReference<@Nullable HttpServer> server = new AtomicReference<>();
    private volatile int port;

    StandinServer(String host, int port, HttpRequestHandler handler) throws IOException {
        address = InetAddress.getByName(host);
        this.port = port;
        this.handler = handler;
    }

    int port() {
        return port;
    }

    boolean isRunning() {
        return server.get() != null;
    }

    void start() throws IOException {
        HttpServer next = ServerBootstrap.bootstrap()
                .setLocalAddress(address)
                .setListenerPort(port)
                .setSocketConfig(SocketConfig.custom()
                        .setSoTimeout(Timeout.ofMinutes(SOCKET_TIMEOUT_MINUTES))
                        .setSoReuseAddress(true)
                        .setTcpNoDelay(true)
                        .build())
                .setRequestRouter((request, context) -> handler)
                .setExceptionListener(new DebugLogExceptionListener())
                .create();
        next.start();
        port = next.getLocalPort();
        server.set(next);
    }

    /** Stops listening and closes all connections without completing their answers. */
    void stopImmediately() {
        HttpServer s = server.getAndSet(null);
        if (s != null) {
            s.close(CloseMode.IMMEDIATE);
            awaitConnectionRefused();
        }
    }

    /**
     * Waits until connections to the port are refused. The kernel accepts connections until the accepting thread has
     * left its system call.
     */
    private void awaitConnectionRefused() {
        long end = System.nanoTime() + REFUSAL_WAIT_NANOS;
        while (System.nanoTime() - end < 0) {
            try {
                new Socket(address, port).close();
            } catch (IOException e) {
                return;
            }
        }
    }

    @Override
    public void close() {
        stopImmediately();
    }

    static byte[] body(ClassicHttpRequest request) throws IOException {
        HttpEntity entity = request.getEntity();
        byte[] body = entity == null ? null : EntityUtils.toByteArray(entity);
        return body == null ? new byte[0] : body;
    }

    static JsonNode json(ClassicHttpRequest request) throws IOException {
        byte[] body = body(request);
        return body.length == 0 ? JSON.createObjectNode() : JSON.readTree(body);
    }

    static void answer(ClassicHttpResponse response, int status, Object content) throws IOException {
        response.setCode(status);
        response.setEntity(new ByteArrayEntity(JSON.writeValueAsBytes(content), ContentType.APPLICATION_JSON));
    }

    static void error(ClassicHttpResponse response, int status, String message) throws IOException {
        answer(response, status, Map.of("error", Map.of("message", message)));
    }

    static String header(ClassicHttpRequest request, String name) {
        Header h = request.getFirstHeader(name);
        return h == null ? "" : h.getValue();
    }
}
