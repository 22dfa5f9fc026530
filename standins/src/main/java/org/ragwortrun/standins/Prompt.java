package org.ragwortrun.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The messages of a chat-completions request.
 *
 * @param text contents joined by line feeds, without the message to continue
 * @param resume text of the message to continue, or empty
 * @param tokens number of tokens of {@code text}
 */
record Prompt(String text, String resume, int tokens) {

    static Prompt read(JsonNode body) {
        List<String> contents = new ArrayList<>();
        for (JsonNode m : body.path("messages")) {
            contents.add(m.path("content").asText(""));
        }
        String resume = "";
        if (body.path("continue_final_message").asBoolean(false) && !contents.isEmpty()) {
            resume = contents.remove(contents.size() - 1);
        }
        int tokens = contents.stream().mapToInt(ExpectedAnswer::promptTokens).sum();
        return new Prompt(String.join("\n", contents), resume, tokens);
    }
}
