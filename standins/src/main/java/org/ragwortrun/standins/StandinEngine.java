package org.ragwortrun.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityTemplate;

/**
 * A stand-in for a language-model engine. It serves the engine protocol and derives its answers from the prompts.
 *
 * <p>Markers in a prompt: {@code [len=N]} sets the length of the answer, {@code [crash]} crashes the engine before the
 * first token and {@code [crash=N]} after N tokens, {@code [fail]} fails the request with status 500.
 */
public final class StandinEngine implements AutoCloseable {
    private static final Pattern CRASH = Pattern.compile("\\[crash(?:=(\\d{1,7}))?]");
    private static final Pattern CANCEL = Pattern.compile("/v1/requests/([^/]+)/cancel");
    private static final int CACHE_BLOCKS = 512;
    private static final int BLOCK_CHARS = 64;
    private static final int LOAD_SAMPLE_MS = 10;

    private final EngineOptions options;
    private final StandinServer server;
    private final SlotQueue slots;
    private final CacheEvents cache;
    private final Map<String, EngineRun> running = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<EngineRun> runs = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Map<String, Object>> loadOrders = new ConcurrentLinkedQueue<>();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong crashes = new AtomicLong();
    private volatile Behaviour behaviour = Behaviour.NO_FAULTS;
    private volatile String version;
    private volatile Map<String, Object> loadSnapshot = Map.of();
    private volatile long loadSnapshotNanos;
    private long fencing;

    private StandinEngine(EngineOptions options) throws IOException {
        this.options = options;
        version = options.version();
        slots = new SlotQueue(options.slots());
        cache = new CacheEvents(options.eventLagMs(), CACHE_BLOCKS);
        server = new StandinServer(options.host(), options.port(), (request, response, context) -> {
            try {
                handle(request, response);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        });
    }

    /** Starts an engine. */
    public static StandinEngine start(EngineOptions options) throws IOException {
        StandinEngine engine = new StandinEngine(options);
        engine.server.start();
        return engine;
    }

    public int port() {
        return server.port();
    }

    public String url() {
        return "http://" + options.host() + ":" + port();
    }

    public String version() {
        return version;
    }

    public void setBehaviour(Behaviour next) {
        behaviour = next;
    }

    /** Drops every n-th cache event; 0 drops none. */
    public void dropCacheEvents(int n) {
        cache.dropEvery(n);
    }

    /** Returns all recorded completion requests, oldest first. */
    public List<EngineRun> runs() {
        return new ArrayList<>(runs);
    }

    /** Returns the executed load orders, oldest first. */
    public Collection<Map<String, Object>> loadOrders() {
        return new ArrayList<>(loadOrders);
    }

    public long crashes() {
        return crashes.get();
    }

    public boolean isRunning() {
        return server.isRunning();
    }

    /** Stops the server and closes all connections, as a crash does. */
    public void crash() {
        crashes.incrementAndGet();
        running.values().forEach(r -> r.setOutcome("crashed"));
        running.clear();
        server.stopImmediately();
    }

    /** Restarts a crashed engine on the same port without the requests that were running. */
    public void restart() throws IOException {
        server.start();
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(ClassicHttpRequest request, ClassicHttpResponse response)
            throws IOException, InterruptedException {
        String path = request.getPath();
        String plain = path.contains("?") ? path.substring(0, path.indexOf('?')) : path;
        Matcher cancel = CANCEL.matcher(plain);
        if (cancel.matches()) {
            cancel(response, cancel.group(1));
            return;
        }
        switch (plain) {
            case "/v1/chat/completions" -> handleCompletion(request, response);
            case "/health" -> StandinServer.answer(response, 200, Map.of("version", version));
            case "/v1/load" -> StandinServer.answer(response, 200, load());
            case "/v1/cache/events" -> StandinServer.answer(response, 200, cache.eventsAfter(afterParameter(path)));
            case "/v1/models/load" -> loadModel(StandinServer.json(request), response);
            case "/v1/kv/export" -> exportKv(StandinServer.json(request), response);
            case "/v1/kv/import" -> importKv(request, response);
            case "/standin/record" ->
                StandinServer.answer(
                        response, 200, runs.stream().map(EngineRun::toMap).toList());
            case "/standin/behaviour" -> {
                behaviour = Behaviour.of(StandinServer.json(request));
                StandinServer.answer(response, 200, Map.of());
            }
            default -> StandinServer.error(response, 404, "no such path: " + plain);
        }
    }

    private void handleCompletion(ClassicHttpRequest request, ClassicHttpResponse response)
            throws IOException, InterruptedException {
        JsonNode body = StandinServer.json(request);
        long number = served.getAndIncrement();
        Prompt prompt = Prompt.read(body);
        ExpectedAnswer answer = ExpectedAnswer.to(prompt.text());
        int resumed = resumedTokens(answer, prompt.resume());
        if (resumed < 0) {
            StandinServer.error(response, 400, "the final message is not the start of this engine's answer");
            return;
        }
        String id = StandinServer.header(request, "X-Request-Id");
        EngineRun run =
                new EngineRun(id.isEmpty() ? "r" + number : id, prompt.text(), prompt.tokens() + resumed, resumed);
        runs.add(run);
        Behaviour b = behaviour;
        boolean faulty = b.appliesTo(
                StandinServer.header(request, "X-Route"), request.getPath(), number, slots.running() + slots.waiting());
        if (faulty && b.fails(number) || prompt.text().contains("[fail]")) {
            run.setOutcome("failed");
            StandinServer.error(response, 500, "failure on request");
            return;
        }
        running.put(run.id(), run);
        cache.recordStored(blocks(prompt.text()));
        Generation g =
                new Generation(run, answer, faulty ? b : Behaviour.NO_FAULTS, crashTokenIndex(prompt.text()), body);
        if (body.path("stream").asBoolean(false)) {
            response.setCode(200);
            response.setEntity(new EntityTemplate(-1, ContentType.TEXT_EVENT_STREAM, null, g::stream));
        } else {
            g.sendCompleteAnswer(response);
        }
    }

    private static int resumedTokens(ExpectedAnswer answer, String resume) {
        int count = 0;
        int position = 0;
        while (position < resume.length() && count < answer.length()) {
            String token = answer.token(count);
            if (!resume.startsWith(token, position)) {
                return -1;
            }
            position += token.length();
            count++;
        }
        return position == resume.length() ? count : -1;
    }

    private static long crashTokenIndex(String prompt) {
        Matcher m = CRASH.matcher(prompt);
        if (!m.find()) {
            return Long.MAX_VALUE;
        }
        return m.group(1) == null ? 0 : Long.parseLong(m.group(1));
    }

    private static List<Long> blocks(String prompt) {
        List<Long> hashes = new ArrayList<>();
        long h = 17;
        for (int i = 0; i + BLOCK_CHARS <= prompt.length(); i += BLOCK_CHARS) {
            h = h * 1_000_003 + prompt.substring(i, i + BLOCK_CHARS).hashCode();
            hashes.add(h & Long.MAX_VALUE);
        }
        return hashes;
    }

    private void cancel(ClassicHttpResponse response, String id) throws IOException {
        EngineRun run = running.get(id);
        if (run == null) {
            StandinServer.error(response, 404, "no such request");
            return;
        }
        run.cancel();
        StandinServer.answer(response, 200, Map.of("cancelled", id));
    }

    private synchronized Map<String, Object> load() {
        long now = System.nanoTime();
        if (now - loadSnapshotNanos >= TimeUnit.MILLISECONDS.toNanos(Math.max(LOAD_SAMPLE_MS, options.loadLagMs()))
                || loadSnapshot.isEmpty()) {
            Map<String, Object> next = new LinkedHashMap<>();
            next.put("running", slots.running());
            next.put("waiting", slots.waiting());
            next.put("kv_used_tokens", kvUsed());
            next.put("kv_capacity_tokens", options.kvCapacity());
            next.put("preemptions", 0);
            loadSnapshot = next;
            loadSnapshotNanos = now;
        }
        return loadSnapshot;
    }

    private long kvUsed() {
        return running.values().stream().mapToLong(EngineRun::kvTokens).sum();
    }

    private static long afterParameter(String path) {
        Matcher m = Pattern.compile("[?&]after=(\\d+)").matcher(path);
        return m.find() ? Long.parseLong(m.group(1)) : 0;
    }

    private synchronized void loadModel(JsonNode order, ClassicHttpResponse response) throws IOException {
        long number = order.path("fencing").asLong();
        if (options.checksFencing() && number <= fencing) {
            StandinServer.error(response, 409, "fencing number " + number + " is not above " + fencing);
            return;
        }
        fencing = Math.max(fencing, number);
        version = order.path("version").asText(version);
        loadOrders.add(Map.of("id", order.path("id").asText(), "version", version, "fencing", number));
        StandinServer.answer(response, 200, Map.of("id", order.path("id").asText(), "version", version));
    }

    private void exportKv(JsonNode body, ClassicHttpResponse response) throws IOException {
        EngineRun run = running.get(body.path("request_id").asText());
        if (run == null) {
            StandinServer.error(response, 404, "no such request");
            return;
        }
        byte[] blob = ("kv:" + run.prompt().hashCode() + ":" + run.kvTokens()).getBytes(StandardCharsets.UTF_8);
        response.setEntity(new ByteArrayEntity(blob, ContentType.APPLICATION_OCTET_STREAM));
    }

    private void importKv(ClassicHttpRequest request, ClassicHttpResponse response) throws IOException {
        byte[] blob = StandinServer.body(request);
        boolean known = new String(blob, StandardCharsets.UTF_8).startsWith("kv:");
        StandinServer.answer(response, known ? 200 : 400, Map.of("bytes", blob.length));
    }

    /** Produces the tokens of one request. */
    private final class Generation {
        private final EngineRun run;
        private final ExpectedAnswer answer;
        private final Behaviour faults;
        private final long crashAt;
        private final JsonNode body;

        Generation(EngineRun run, ExpectedAnswer answer, Behaviour faults, long crashAt, JsonNode body) {
            this.run = run;
            this.answer = answer;
            this.faults = faults;
            this.crashAt = crashAt;
            this.body = body;
        }

        void stream(OutputStream out) throws IOException {
            boolean continuous =
                    body.path("stream_options").path("continuous_usage_stats").asBoolean(false);
            boolean usage = body.path("stream_options").path("include_usage").asBoolean(false);
            String finish = generate(token -> {
                writeEvent(out, choice(Map.of("content", token), ""), continuous);
            });
            if (!"lost".equals(finish)) {
                writeEvent(out, choice(Map.of(), finish), usage || continuous);
                out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        }

        void sendCompleteAnswer(ClassicHttpResponse response) throws IOException {
            StringBuilder text = new StringBuilder();
            String finish = generate(text::append);
            Map<String, Object> message = Map.of("role", "assistant", "content", text.toString());
            StandinServer.answer(
                    response,
                    200,
                    Map.of(
                            "id", run.id(),
                            "object", "chat.completion",
                            "choices", List.of(Map.of("index", 0, "message", message, "finish_reason", finish)),
                            "usage", usage()));
        }

        private String generate(TokenSink sink) throws IOException {
            boolean acquired = false;
            try {
                slots.acquire(body.path("priority").asInt(0));
                acquired = true;
                TimeUnit.MILLISECONDS.sleep(faults.extraMs());
                String finish = produce(sink);
                run.setOutcome(run.isCancelled() ? "cancelled" : "done");
                return finish;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            } finally {
                if (acquired) {
                    slots.release();
                }
                running.remove(run.id(), run);
                if ("running".equals(run.outcome())) {
                    run.setOutcome("lost");
                }
            }
        }

        private String produce(TokenSink sink) throws IOException, InterruptedException {
            int limit = body.path("max_tokens").asInt(Integer.MAX_VALUE);
            int pause = faults.tokenMs() >= 0 ? faults.tokenMs() : options.tokenMs();
            int from = run.resumedTokens();
            int end = (int) Math.min(answer.length(), (long) from + limit);
            for (int i = from; i < end && !run.isCancelled(); i++) {
                if (i >= crashAt || options.kvLimit() > 0 && kvUsed() > options.kvLimit()) {
                    crash();
                    throw new IOException("crashed");
                }
                if (pause > 0) {
                    TimeUnit.MILLISECONDS.sleep(pause);
                }
                run.setOutputTokens(i + 1 - from);
                sink.accept(answer.token(i));
            }
            if (run.isCancelled()) {
                return "abort";
            }
            return end < answer.length() ? "length" : "stop";
        }

        private Map<String, Object> choice(Map<String, String> delta, String finish) {
            Map<String, Object> c = new LinkedHashMap<>();
            c.put("index", 0);
            c.put("delta", delta);
            c.put("finish_reason", finish.isEmpty() ? null : finish);
            return c;
        }

        private Map<String, Object> usage() {
            return Map.of(
                    "prompt_tokens", run.promptTokens(),
                    "completion_tokens", run.outputTokens(),
                    "total_tokens", run.kvTokens());
        }

        private void writeEvent(OutputStream out, Map<String, Object> choice, boolean withUsage) throws IOException {
            Map<String, Object> e = new LinkedHashMap<>();
            e.put("id", run.id());
            e.put("object", "chat.completion.chunk");
            e.put("choices", List.of(choice));
            if (withUsage) {
                e.put("usage", usage());
            }
            out.write("data: ".getBytes(StandardCharsets.UTF_8));
            out.write(StandinServer.JSON.writeValueAsBytes(e));
            out.write("\n\n".getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    private interface TokenSink {
        void accept(String token) throws IOException;
    }
}
