package org.ragwortrun.measure.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Text and usage of a chat completion, streamed or not. */
public record ChatCompletion(String text, long totalTokens, boolean complete) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";

    /** Parses the body of a response. */
    public static ChatCompletion of(Response answer, boolean stream) throws FleetException {
        try {
            return stream ? parseEventStream(answer.body()) : parseJson(JSON.readTree(answer.body()));
        } catch (JsonProcessingException e) {
            throw new FleetException("response is not a chat completion: " + answer.body(), e);
        }
    }

    private static ChatCompletion parseJson(JsonNode root) {
        JsonNode choice = root.path("choices").path(0);
        return new ChatCompletion(
                choice.path("message").path("content").asText(),
                root.path("usage").path("total_tokens").asLong(),
                !choice.path("finish_reason").asText("").isEmpty());
    }

    private static ChatCompletion parseEventStream(String body) throws JsonProcessingException {
        StringBuilder text = new StringBuilder();
        long tokens = 0;
        boolean done = false;
        for (String line : body.split("\n")) {
            if (!line.startsWith(DATA)) {
                continue;
            }
            String data = line.substring(DATA.length()).trim();
            if (DONE.equals(data)) {
                done = true;
                continue;
            }
            JsonNode event = JSON.readTree(data);
            text.append(
                    event.path("choices").path(0).path("delta").path("content").asText(""));
            tokens = event.path("usage").path("total_tokens").asLong(tokens);
        }
        return new ChatCompletion(text.toString(), tokens, done);
    }
}
