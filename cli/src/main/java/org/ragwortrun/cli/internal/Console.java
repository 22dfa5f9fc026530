package org.ragwortrun.cli.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints results of commands to standard output and errors to standard error. */
final class Console {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String GAP = "  ";

    private final PrintStream out;
    private final PrintStream err;

    Console(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    void print(String text) {
        out.println(text);
    }

    void printError(String text) {
        err.println(text);
    }

    void print(JsonNode json) {
        try {
            out.println(JSON.writerWithDefaultPrettyPrinter().writeValueAsString(json));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write a JSON tree", e);
        }
    }

    /** Prints rows in columns. The first row is the header. */
    void table(List<List<String>> rows) {
        List<Integer> widths = new ArrayList<>();
        for (List<String> row : rows) {
            for (int i = 0; i < row.size(); i++) {
                if (i == widths.size()) {
                    widths.add(0);
                }
                widths.set(i, Math.max(widths.get(i), row.get(i).length()));
            }
        }
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.size(); i++) {
                String cell = row.get(i);
                line.append(i == 0 ? "" : GAP).append(cell).append(" ".repeat(widths.get(i) - cell.length()));
            }
            out.println(line.toString().stripTrailing());
        }
    }
}
