package org.ragwortrun.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Messages of a chat-completions request.
 *
 * @param text contents joined by line feeds, without the message that is to be continued
 * @param resume text of the message that is to be continued, or empty
 * @param tokens tokens of the text
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
