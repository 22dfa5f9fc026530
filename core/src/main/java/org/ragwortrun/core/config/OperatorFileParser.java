package org.ragwortrun.core.config;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.core.config.SourceSection.KeyLine;
import org.ragwortrun.proto.Section;

/**
 * Parses one operators' file.
 *
 * <p>Commons Configuration reads the values. It merges sections of the same name and keeps no line numbers, so this
 * class first replaces each header with a unique one and records the line numbers.
 */
final class OperatorFileParser {
    private static final Pattern HEADER = Pattern.compile("\\[\\s*(\\S+)\\s+(\\S.*?)\\s*]");
    private static final String HEADER_FORM = "a header of the form [kind name]";

    private final String file;
    private final List<Block> blocks = new ArrayList<>();
    private final List<ConfigurationError> errors = new ArrayList<>();
    private final List<SourceSection> sections = new ArrayList<>();

    OperatorFileParser(String file, String text) {
        this.file = file;
        String unique = index(text);
        readValues(unique);
    }

    List<SourceSection> sections() {
        return sections;
    }

    List<ConfigurationError> errors() {
        return errors;
    }

    /** Records the lines of headers and keys and returns the text with unique headers. */
    private String index(String text) {
        StringBuilder unique = new StringBuilder(text.length());
        boolean continued = false;
        int number = 0;
        for (String raw : text.split("\\R", -1)) {
            number++;
            String line = raw.trim();
            if (!continued && line.startsWith("[")) {
                addBlock(line, number);
                line = "[" + (blocks.size() - 1) + "]";
            } else if (!continued && !line.isEmpty() && line.charAt(0) != ';' && line.charAt(0) != '#') {
                addKey(line, number);
            }
            unique.append(line).append('\n');
            continued = line.endsWith(" \\") || line.endsWith("\t\\") || "\\".equals(line);
        }
        return unique.toString();
    }

    private void addBlock(String line, int number) {
        Matcher m = HEADER.matcher(line);
        boolean valid = m.matches();
        if (!valid) {
            fail(number, "", "section-header", HEADER_FORM);
        }
        blocks.add(valid ? new Block(m.group(1), m.group(2), number, true) : new Block("", "", number, false));
    }

    private void addKey(String line, int number) {
        int separator = line.indexOf('=');
        String key = separator < 0 ? line : line.substring(0, separator).trim();
        if (blocks.isEmpty()) {
            fail(number, key, "section-header", HEADER_FORM + " before the first key");
        } else if (separator < 0) {
            fail(number, key, "key-value", "a line of the form key = value");
        } else {
            blocks.get(blocks.size() - 1).keys.add(new KeyLine(key, number));
        }
    }

    private void readValues(String unique) {
        INIConfiguration ini = new INIConfiguration();
        ini.setSeparatorUsedInInput("=");
        try {
            ini.read(new StringReader(unique));
        } catch (IOException | ConfigurationException e) {
            fail(1, "", "readable-file", "an INI file (" + e.getMessage() + ")");
            return;
        }
        // Nodes contain the literal values. The getters would replace ${...} with environment variables.
        Map<String, ImmutableNode> byName = new TreeMap<>();
        ini.getNodeModel().getNodeHandler().getRootNode().getChildren().forEach(n -> byName.put(n.getNodeName(), n));
        for (int i = 0; i < blocks.size(); i++) {
            Block block = blocks.get(i);
            if (block.valid) {
                sections.add(new SourceSection(section(block, byName.get(Integer.toString(i))), block.keys));
            }
        }
    }

    private Section section(Block block, @Nullable ImmutableNode node) {
        Section.Builder section = Section.newBuilder()
                .setKind(block.kind)
                .setName(block.name)
                .setFile(file)
                .setLine(block.line);
        if (node != null) {
            node.getChildren()
                    .forEach(k -> section.putProperties(
                            k.getNodeName(), String.valueOf(k.getValue()).trim()));
        }
        return section.build();
    }

    private void fail(int line, String key, String rule, String expected) {
        errors.add(new ConfigurationError(file, line, "", key, rule, expected));
    }

    /** The lines from one header to the next. */
    private static final class Block {
        private final String kind;
        private final String name;
        private final int line;
        private final boolean valid;
        private final List<KeyLine> keys = new ArrayList<>();

        Block(String kind, String name, int line, boolean valid) {
            this.kind = kind;
            this.name = name;
            this.line = line;
            this.valid = valid;
        }
    }
}
