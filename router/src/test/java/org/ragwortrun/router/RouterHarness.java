package org.ragwortrun.router;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.core.id.Digests;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameServer;
import org.ragwortrun.net.Transport;
import org.ragwortrun.proto.Hello;

/** A router with two fake model agents, one fake agent of a plain service and a fake control member. */
final class RouterHarness implements AutoCloseable {
    static final String KEY = "key-1";
    static final String ACCOUNT = "dealer";
    static final String CHAT = "/v1/chat/completions";
    static final String QUICK = "/v1/quick/chat/completions";
    static final String ORDERS = "/orders/place";

    final FakeControl control = new FakeControl();
    final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();
    final Closer closer = new Closer();
    FakeAgent first;
    FakeAgent second;
    FakeAgent orders;
    RouterDaemon router;

    RouterHarness(Map<String, String> settings) throws Exception {
        first = new FakeAgent("m1", 1, 0);
        second = new FakeAgent("m2", 1, 0);
        orders = new FakeAgent("o1", 1, 0);
        closer.register(() -> first.close());
        closer.register(() -> second.close());
        closer.register(() -> orders.close());
        configure();
        Transport transport = closer.register(new Transport(Hello.getDefaultInstance(), 1));
        FrameServer server = closer.register(transport.listen(new Address("127.0.0.1", 0), control));
        Map<String, String> all = new LinkedHashMap<>(Map.of(
                "daemon.name", "r1",
                "daemon.data-center", "a",
                "http.address", "127.0.0.1:0",
                "control.members", "c1=127.0.0.1:" + server.port()));
        all.putAll(settings);
        router = RouterDaemon.start(Settings.of(all));
        await(this::isReady);
        // A router becomes ready before its connections to the agents are open.
        await(() -> first.isConnected() && second.isConnected() && orders.isConnected());
    }

    private void configure() {
        control.putSection("account", ACCOUNT, Map.of("keys", Digests.apiKey(KEY)));
        control.putSection("account", "poor", Map.of("keys", Digests.apiKey("key-2")));
        control.putSection("service", "assay", Map.of("kind", "model", "model", "gas", "version", "v1"));
        control.putSection("service", "orders", Map.of("kind", "plain", "version", "v1"));
        control.putSection("route", "chat", Map.of("service", "assay", "path", CHAT, "deadline", "20s"));
        control.putSection("route", "quick", Map.of("service", "assay", "path", QUICK, "deadline", "500ms"));
        control.putSection(
                "route",
                "place",
                Map.of("service", "orders", "path", ORDERS, "repeatable", "no", "price", "10", "deadline", "10s"));
        control.putSection(
                "route", "read", Map.of("service", "orders", "path", "/orders", "price", "1", "deadline", "10s"));
        addEndpoint("m1", "assay", first);
        addEndpoint("m2", "assay", second);
        addEndpoint("o1", "orders", orders);
        for (String service : new String[] {"assay", "orders"}) {
            control.putSection("budget", ACCOUNT + "/" + service, Map.of("topup.1", "1000000"));
            control.topUp(ACCOUNT, service, "1", 1_000_000);
        }
        control.putSection("budget", "poor/assay", Map.of("topup.1", "10"));
        control.topUp("poor", "assay", "1", 10);
    }

    private void addEndpoint(String name, String service, FakeAgent agent) {
        control.putSection(
                "endpoint",
                name,
                Map.of(
                        "service", service,
                        "version", "v1",
                        "agent", "127.0.0.1:" + agent.port(),
                        "url", "http://127.0.0.1:1",
                        "data-center", "a"));
    }

    boolean isReady() {
        try {
            return get("/readyz").statusCode() == 200;
        } catch (IOException | InterruptedException e) {
            return false;
        }
    }

    HttpResponse<String> get(String path) throws IOException, InterruptedException {
        return http.send(request(path).GET().build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + router.port() + path))
                .timeout(Duration.ofSeconds(20))
                .header("Authorization", "Bearer " + KEY);
    }

    HttpRequest.Builder chat(boolean stream, String content) {
        return request(CHAT).POST(HttpRequest.BodyPublishers.ofString(chatBody(stream, content)));
    }

    /** Returns a chat whose last message follows others. */
    HttpRequest.Builder conversation(String last, String... earlier) {
        String messages = Stream.concat(Arrays.stream(earlier), Stream.of(last))
                .map(RouterHarness::message)
                .collect(Collectors.joining(","));
        String body = "{\"model\":\"gas\",\"max_tokens\":100,\"messages\":[" + messages + "]}";
        return request(CHAT).POST(HttpRequest.BodyPublishers.ofString(body));
    }

    static String message(String content) {
        return "{\"role\":\"user\",\"content\":\"" + content + "\"}";
    }

    static String chatBody(boolean stream, String content) {
        return "{\"model\":\"gas\",\"stream\":" + stream
                + ",\"max_tokens\":100,\"messages\":[{\"role\":\"user\",\"content\":\"" + content + "\"}]}";
    }

    HttpRequest.Builder order(String key, String body) {
        return request(ORDERS).header("Idempotency-Key", key).POST(HttpRequest.BodyPublishers.ofString(body));
    }

    HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
        return http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Returns an idempotency key that starts with the current time. */
    static String key(String text) {
        return System.currentTimeMillis() / 1000 + "-" + text;
    }

    /** Returns the text of a streamed answer, and fails if it is incomplete. */
    static String streamedText(String events) {
        if (!events.endsWith("data: [DONE]\n\n")) {
            throw new AssertionError("the stream is incomplete: " + events);
        }
        StringBuilder text = new StringBuilder();
        java.util.regex.Matcher m = java.util.regex.Pattern.compile("\"delta\":\\{\"content\":\"([^\"]*)\"")
                .matcher(events);
        while (m.find()) {
            text.append(m.group(1));
        }
        return text.toString();
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("the condition did not hold within 10 s");
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @Override
    public void close() {
        router.close();
        closer.close();
    }
}
