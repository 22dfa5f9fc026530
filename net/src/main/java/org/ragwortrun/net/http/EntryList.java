package org.ragwortrun.net.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON object with an array of entries from several writers.
 *
 * <p>An entry can have any form, and must not make the others unreadable. Entries are therefore separated by their
 * brackets and quotes before each is parsed by itself, with the parser's limits on depth and length.
 *
 * @param entries the entries, in order; one that cannot be parsed is missing
 * @param fields the other fields of the document
 */
public record EntryList(List<JsonNode> entries, Map<String, JsonNode> fields) {
    private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    /**
     * Reads a document.
     *
     * @param field field with the array of entries
     * @throws IOException if the document is not a JSON object with such an array
     */
    public static EntryList read(byte[] text, String field) throws IOException {
        // Bytes that are no characters are replaced, so that they affect only their own entry.
        Scanner in = new Scanner(new String(text, StandardCharsets.UTF_8));
        Map<String, JsonNode> fields = new HashMap<>();
        List<JsonNode> entries = null;
        in.expect('{');
        while (!in.accept('}')) {
            String name = JSON.readTree(in.nextValue()).asText();
            in.expect(':');
            if (name.equals(field) && in.accept('[')) {
                entries = in.readEntries();
            } else {
                fields.put(name, parseOrMissing(in.nextValue()));
            }
            in.acceptSeparator('}');
        }
        in.expectEnd();
        if (entries == null) {
            throw new IOException("the body must have an array '" + field + "'");
        }
        return new EntryList(List.copyOf(entries), Map.copyOf(fields));
    }

    /** Returns a field of the document beside the entries, or a missing node. */
    public JsonNode field(String name) {
        return fields.getOrDefault(name, MissingNode.getInstance());
    }

    private static JsonNode parseOrMissing(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance();
        }
    }

    /** Separates the values of a document without parsing them. */
    private static final class Scanner {
        private final String text;
        private int at;

        Scanner(String text) {
            this.text = text;
        }

        List<JsonNode> readEntries() throws IOException {
            List<JsonNode> entries = new ArrayList<>();
            while (!accept(']')) {
                entries.add(parseOrMissing(nextValue()));
                acceptSeparator(']');
            }
            return entries;
        }

        /** Returns the text of the next value. */
        String nextValue() throws IOException {
            skipSpace();
            int begin = at;
            int depth = 0;
            do {
                char c = next();
                if (c == '"') {
                    skipString();
                } else if (c == '{' || c == '[') {
                    depth++;
                } else if (c == '}' || c == ']') {
                    depth--;
                }
            } while (depth > 0 || depth == 0 && !isAtEndOfValue());
            if (depth < 0) {
                throw new IOException("a value is missing at character " + begin);
            }
            return text.substring(begin, at);
        }

        private boolean isAtEndOfValue() {
            return at >= text.length() || ",:]} \t\r\n".indexOf(text.charAt(at)) >= 0;
        }

        private void skipString() throws IOException {
            char c = next();
            while (c != '"') {
                if (c == '\\') {
                    next();
                }
                c = next();
            }
        }

        void expect(char c) throws IOException {
            if (!accept(c)) {
                throw new IOException("expected '" + c + "' at character " + at);
            }
        }

        /** Skips a comma, unless the closing bracket follows. */
        void acceptSeparator(char closing) throws IOException {
            skipSpace();
            if (at >= text.length() || text.charAt(at) != closing) {
                expect(',');
            }
        }

        boolean accept(char c) {
            skipSpace();
            boolean found = at < text.length() && text.charAt(at) == c;
            at += found ? 1 : 0;
            return found;
        }

        void expectEnd() throws IOException {
            skipSpace();
            if (at < text.length()) {
                throw new IOException("the body must be one JSON object");
            }
        }

        private char next() throws IOException {
            if (at >= text.length()) {
                throw new IOException("the body is not complete");
            }
            return text.charAt(at++);
        }

        private void skipSpace() {
            while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
                at++;
            }
        }
    }
}
