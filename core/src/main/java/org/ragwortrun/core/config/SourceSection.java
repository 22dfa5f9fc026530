package org.ragwortrun.core.config;

import java.util.List;
import org.ragwortrun.proto.Section;

/**
 * A section together with the lines of its keys.
 *
 * @param section section as it is published
 * @param keys every key line in the order of the file, with repetitions
 */
public record SourceSection(Section section, List<KeyLine> keys) {
    public SourceSection {
        keys = List.copyOf(keys);
    }

    /** Returns the line of a key, or the line of the section header if the key does not stand in the file. */
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
