package org.ragwortrun.cli.internal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.ragwortrun.core.config.ConfigurationError;

/** Prints errors in configuration files. */
final class FileReport {
    private FileReport() {}

    static void print(List<ConfigurationError> errors, Console console) {
        errors.forEach(e -> console.printError(e.toString()));
        console.printError(errors.size() + (errors.size() == 1 ? " error" : " errors") + "; nothing was changed");
    }

    static ArrayNode json(List<ConfigurationError> errors) {
        ArrayNode all = JsonNodeFactory.instance.arrayNode();
        for (ConfigurationError e : errors) {
            ObjectNode node = all.addObject();
            node.put("file", e.file());
            node.put("line", e.line());
            node.put("section", e.section());
            node.put("key", e.key());
            node.put("rule", e.rule());
            node.put("expected", e.expected());
        }
        return all;
    }
}
