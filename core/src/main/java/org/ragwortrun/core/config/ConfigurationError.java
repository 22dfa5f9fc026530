package org.ragwortrun.core.config;

/**
 * An error in an operators' file.
 *
 * @param file name of the file
 * @param line line of the key or section header, from 1
 * @param section section as {@code kind name}
 * @param key key, empty if the section itself is wrong
 * @param rule name of the violated rule
 * @param expected description of a valid value
 */
public record ConfigurationError(String file, int line, String section, String key, String rule, String expected) {
    @Override
    public String toString() {
        String where = key.isEmpty() ? "[" + section + "]" : "[" + section + "] " + key;
        return file + ":" + line + ": " + where + ": " + rule + ": expected " + expected;
    }
}
