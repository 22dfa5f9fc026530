package org.ragwortrun.core.settings;

import java.io.IOException;
import java.io.StringReader;
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
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
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
    private final Optional<Source> source;
    private final Set<String> readKeys = new HashSet<>();
    private final List<String> problems = new ArrayList<>();

    private Settings(String file, Map<String, String> values, Optional<Source> source) {
        this.file = file;
        this.values = values;
        this.source = source;
    }

    /**
     * Where settings come from.
     *
     * @param path the file
     * @param content its content when it was read
     * @param conversion converts what was read into the keys that the daemon uses
     */
    private record Source(Path path, String content, UnaryOperator<Settings> conversion) {}

    /**
     * Reads a file. Keys are named {@code section.key}.
     *
     * @throws SettingsException if the file cannot be read as INI
     */
    public static Settings read(Path path) throws SettingsException {
        return parse(new Source(path, content(path), UnaryOperator.identity()));
    }

    /**
     * Returns the settings as they are in the file now, converted in the same way, if the file has changed since these were
     * read. Settings that do not come from a file never change.
     *
     * @throws SettingsException if the file cannot be read as INI
     */
    public Optional<Settings> readIfChanged() throws SettingsException {
        if (source.isEmpty()) {
            return Optional.empty();
        }
        Source s = source.get();
        String content = content(s.path);
        return content.equals(s.content)
                ? Optional.empty()
                : Optional.of(parse(new Source(s.path, content, s.conversion)));
    }

    /** Returns the settings after a conversion, which is applied again when the file is read again. */
    public Settings converted(UnaryOperator<Settings> conversion) {
        Settings copy = new Settings(file, values, source.map(s -> new Source(s.path, s.content, conversion)));
        copy.readKeys.addAll(readKeys);
        copy.problems.addAll(problems);
        return conversion.apply(copy);
    }

    private static String content(Path path) throws SettingsException {
        try {
            return Files.readString(path);
        } catch (IOException e) {
            throw unreadable(path, e);
        }
    }

    private static SettingsException unreadable(Path path, Exception cause) {
        return new SettingsException(path.toString(), List.of("cannot be read: " + cause.getMessage()), cause);
    }

    private static Settings parse(Source source) throws SettingsException {
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(source.content));
        } catch (IOException | ConfigurationException e) {
            throw unreadable(source.path, e);
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
        return source.conversion.apply(new Settings(source.path.toString(), values, Optional.of(source)));
    }

    /** Creates settings from values, for tests and embedding. */
    public static Settings of(Map<String, String> values) {
        return new Settings("settings", new TreeMap<>(values), Optional.empty());
    }

    /** Returns a copy with another value for a key. The copy keeps the keys read and the problems found so far. */
    public Settings with(String key, String value) {
        Map<String, String> next = new TreeMap<>(values);
        next.put(key, value);
        Settings settings = new Settings(file, next, source);
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
        checkValues();
    }

    /**
     * Fails if a value that has been read was invalid, whether or not other keys are known.
     *
     * @throws SettingsException with all problems
     */
    public void checkValues() throws SettingsException {
        if (!problems.isEmpty()) {
            throw new SettingsException(file, problems);
        }
    }
}
