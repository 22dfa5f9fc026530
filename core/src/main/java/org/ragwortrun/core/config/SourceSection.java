package org.ragwortrun.core.config;

import java.util.List;
import org.ragwortrun.proto.Section;

/**
 * A section with the line numbers of its keys.
 *
 * @param section section as it is published
 * @param keys all key lines in file order, including duplicates
 */
public record SourceSection(Section section, List<KeyLine> keys) {
    public SourceSection {
        keys = List.copyOf(keys);
    }

    /** Returns the line of a key, or the line of the section header if the file does not set the key. */
    public int line(String key) {
        return keys.stream()
                .filter(k -> k.key().equals(key))
                .mapToInt(KeyLine::line)
                .findFirst()
                .orElse(section.getLine());
    }

    /**
     * A line that sets a key.
     *
     * @param key key
     * @param line line number, from 1
     */
    public record KeyLine(String key, int line) {}
}
