package org.ragwortrun.core.settings;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.ragwortrun.core.config.Durations;

/**
 * Settings of one daemon, read from an INI file.
 *
 * <p>A daemon reads all its keys through this class and then calls {@link #check()}, which fails if a value was
 * invalid or the file has a key that was never read. A blank value means the default.
 */
public final class Settings {
    private final String file;
    private final Map<String, String> values;
    private final Set<String> readKeys = new HashSet<>();
    private final List<String> problems = new ArrayList<>();

    private Settings(String file, Map<String, String> values) {
        this.file = file;
        this.values = values;
    }

    /**
     * Reads a file. Keys are named {@code section.key}.
     *
     * @throws SettingsException if the file cannot be read as INI
     */
    public static Settings read(Path path) throws SettingsException {
        INIConfiguration ini = new INIConfiguration();
        try (Reader in = Files.newBufferedReader(path)) {
            ini.read(in);
        } catch (IOException | ConfigurationException e) {
            throw new SettingsException(path.toString(), List.of("cannot be read: " + e.getMessage()), e);
        }
        Map<String, String> values = new TreeMap<>();
        for (String name : ini.getSections()) {
            SubnodeConfiguration section = ini.getSection(name);
            Iterator<String> keys = section.getKeys();
            while (keys.hasNext()) {
                String key = keys.next();
                String plain = key.replace("..", ".");
                values.put(name == null ? plain : name + "." + plain, section.getString(key));
            }
        }
        return new Settings(path.toString(), values);
    }

    /** Creates settings from values, for tests and embedding. */
    public static Settings of(Map<String, String> values) {
        return new Settings("settings", new TreeMap<>(values));
    }

    /** Returns a copy with another value for a key. The copy keeps the keys read and the problems found so far. */
    public Settings with(String key, String value) {
        Map<String, String> next = new TreeMap<>(values);
        next.put(key, value);
        Settings settings = new Settings(file, next);
        settings.readKeys.addAll(readKeys);
        settings.problems.addAll(problems);
        return settings;
    }

    /** Returns a required text. */
    public String text(String key) {
        String value = optional(key);
        if (value.isBlank()) {
            problems.add(key + " is required");
        }
        return value;
    }

    public String text(String key, String fallback) {
        String value = optional(key);
        return value.isBlank() ? fallback : value;
    }

    /** Returns a whole number between the bounds. */
    public long number(String key, long fallback, long min, long max) {
        String value = optional(key);
        if (value.isBlank()) {
            return fallback;
        }
        try {
            long n = Long.parseLong(value);
            if (n >= min && n <= max) {
                return n;
            }
        } catch (NumberFormatException e) {
            // reported below with the numbers out of range
        }
        problems.add(key + " must be a whole number from " + min + " to " + max + ", not " + value);
        return fallback;
    }

    /** Returns a decimal number between the bounds. */
    public double decimal(String key, double fallback, double min, double max) {
        String value = optional(key);
        if (value.isBlank()) {
            return fallback;
        }
        try {
            double n = Double.parseDouble(value);
            if (n >= min && n <= max) {
                return n;
            }
        } catch (NumberFormatException e) {
            // reported below with the numbers out of range
        }
        problems.add(key + " must be a number from " + min + " to " + max + ", not " + value);
        return fallback;
    }

    /** Returns a duration such as {@code 500ms} or {@code 30s}. */
    public Duration duration(String key, Duration fallback) {
        String value = optional(key);
        if (value.isBlank()) {
            return fallback;
        }
        try {
            return Durations.parse(value);
        } catch (DateTimeException e) {
            problems.add(key + " must be a duration such as 500ms or 30s, not " + value);
            return fallback;
        }
    }

    /** Returns a required list of texts separated by commas. */
    public List<String> list(String key) {
        return split(text(key));
    }

    /** Returns a list of texts separated by commas, which may be empty. */
    public List<String> optionalList(String key) {
        return split(text(key, ""));
    }

    private String optional(String key) {
        readKeys.add(key);
        return values.getOrDefault(key, "");
    }

    private static List<String> split(String text) {
        return Arrays.stream(text.split(","))
                .map(String::trim)
                .filter(v -> !v.isEmpty())
                .toList();
    }

    /** Adds a problem with the value of a key. */
    public void reject(String key, String problem) {
        problems.add(key + " " + problem);
    }

    /**
     * Fails if a value was invalid or a key is unknown.
     *
     * @throws SettingsException with all problems
     */
    public void check() throws SettingsException {
        values.keySet().stream()
                .filter(k -> !readKeys.contains(k))
                .map(k -> k + " is not a known key")
                .forEach(problems::add);
        if (!problems.isEmpty()) {
            throw new SettingsException(file, problems);
        }
    }
}
