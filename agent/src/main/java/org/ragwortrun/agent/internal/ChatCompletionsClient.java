package org.ragwortrun.agent.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.Dispatch;

/** Client for the chat-completions protocol: always streams the answer, with usage in each event, and can cancel it. */
final class ChatCompletionsClient implements EndpointClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PATH = "/v1/chat/completions";
    private static final String DONE = "[DONE]";
    private static final byte[] EMPTY_BODY = new byte[0];
    private static final int OK = 200;

    private final HttpEndpoint endpoint;
    private final EndpointLimitGate limit;
    private final Time time;

    ChatCompletionsClient(HttpEndpoint endpoint, EndpointLimitGate limit, Time time) {
        this.endpoint = endpoint;
        this.limit = limit;
        this.time = time;
    }

    @Override
    public boolean isText() {
        return true;
    }

    @Override
    public EndpointCall start(Dispatch dispatch, EndpointListener listener) {
        byte[] body;
        try {
            body = JSON.writeValueAsBytes(engineRequest(dispatch));
        } catch (IOException e) {
            listener.onEvent(new EndpointEvent.Failed("the body is not a chat-completions request"));
            return new Stream(dispatch, listener);
        }
        BasicHttpRequest request = endpoint.request("POST", PATH);
        request.setHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        request.setHeader(SentRequestIds.HEADER, engineRequestId(dispatch));
        request.setHeader("X-Route", dispatch.getRoute());
        Stream stream = new Stream(dispatch, listener);
        stream.exchange = endpoint.send(request, body, stream);
        return stream;
    }

    private static ObjectNode engineRequest(Dispatch dispatch) throws IOException {
        JsonNode parsed = JSON.readTree(dispatch.getBody().newInput());
        if (!(parsed instanceof ObjectNode)) {
            throw new IOException("not an object");
        }
        ObjectNode json = (ObjectNode) parsed;
        json.put("stream", true);
        ObjectNode options = json.putObject("stream_options");
        options.put("include_usage", true);
        options.put("continuous_usage_stats", true);
        json.put("max_tokens", Math.max(1, dispatch.getMaxOutput() - dispatch.getResumeTokens()));
        json.remove("max_completion_tokens");
        json.put("priority", dispatch.getPriority());
        json.put("n", 1);
        if (!dispatch.getResumeText().isEmpty() && json.get("messages") instanceof ArrayNode messages) {
            messages.addObject().put("role", "assistant").put("content", dispatch.getResumeText());
            json.put("continue_final_message", true);
            json.put("add_generation_prompt", false);
        }
        return json;
    }

    private static String engineRequestId(Dispatch dispatch) {
        String id = dispatch.getBudget().getAccount() + "." + dispatch.getRequestId() + "." + dispatch.getAttempt();
        return URLEncoder.encode(id, StandardCharsets.UTF_8);
    }

    /** One request with its streamed answer. */
    private final class Stream implements EndpointCall, HttpExchange.Receiver {
        private final Dispatch dispatch;
        private final EndpointListener listener;
        private final SseParser parser = new SseParser(this::onEvent);
        private volatile @Nullable HttpExchange exchange;
        private boolean eventStream;
        private boolean done;
        private boolean failed;
        private volatile long sentNanos;

        Stream(Dispatch dispatch, EndpointListener listener) {
            this.dispatch = dispatch.toBuilder().clearBody().clearResumeText().build();
            this.listener = listener;
        }

        @Override
        public void cancel() {
            HttpExchange e = exchange;
            if (e != null) {
                endpoint.call("POST", "/v1/requests/" + engineRequestId(dispatch) + "/cancel", EMPTY_BODY);
                e.abort();
            }
        }

        @Override
        public void readMore() {
            HttpExchange e = exchange;
            if (e != null) {
                e.readMore();
            }
        }

        @Override
        public void onSent() {
            sentNanos = time.nanos();
            listener.onEvent(new EndpointEvent.Sent());
        }

        @Override
        public void onHead(int status, List<Header> headers) {
            limit.onAnswer(headers, sentNanos);
            eventStream = status == OK;
            listener.onEvent(new EndpointEvent.Head(status, List.of()));
        }

        @Override
        public void onData(ByteBuffer data) {
            if (eventStream) {
                parser.feed(data);
                return;
            }
            byte[] copy = new byte[data.remaining()];
            data.get(copy);
            listener.onEvent(new EndpointEvent.Output(copy, false, 0, 0, false));
        }

        @Override
        public void onEnd() {
            if (!failed) {
                listener.onEvent(
                        eventStream && !done
                                ? new EndpointEvent.Failed("the engine ended the stream before the answer was complete")
                                : new EndpointEvent.End());
            }
        }

        @Override
        public void onFailed(String detail) {
            if (!failed) {
                listener.onEvent(done ? new EndpointEvent.End() : new EndpointEvent.Failed(detail));
            }
        }

        @Override
        public boolean shouldKeepReading() {
            listener.onPaused();
            return false;
        }

        private void onEvent(byte[] data) {
            if (done || failed) {
                return;
            }
            if (data.length == DONE.length() && DONE.equals(new String(data, StandardCharsets.UTF_8))) {
                done = true;
                return;
            }
            try {
                onEvent(JSON.readTree(data));
            } catch (JsonProcessingException e) {
                fail("the engine sent an event that is not JSON");
            } catch (IOException e) {
                fail("the engine sent an event that cannot be read");
            }
        }

        private void onEvent(JsonNode event) {
            if (event.has("error")) {
                fail("the engine failed: " + event.path("error").path("message").asText("no message"));
                return;
            }
            JsonNode choice = event.path("choices").path(0);
            String text = choice.path("delta").path("content").asText("");
            String finish = choice.path("finish_reason").asText("");
            if ("abort".equals(finish)) {
                fail("the engine cancelled the request");
                return;
            }
            JsonNode usage = event.path("usage");
            listener.onEvent(new EndpointEvent.Output(
                    text.getBytes(StandardCharsets.UTF_8),
                    true,
                    usage.path("prompt_tokens").asLong(0),
                    usage.path("completion_tokens").asLong(0),
                    "length".equals(finish)));
        }

        private void fail(String detail) {
            failed = true;
            listener.onEvent(new EndpointEvent.Failed(detail));
        }
    }
}
