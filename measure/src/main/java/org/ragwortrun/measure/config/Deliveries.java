package org.ragwortrun.measure.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** How configurations reached the routers, by their own logs. */
final class Deliveries {
    private static final Pattern APPLIED =
            Pattern.compile("event=configuration-applied .*delivery=(\\S+) .*age-ms=(\\d+) waited-ms=(\\d+)");

    private final Map<String, List<Double>> delaysMs = new TreeMap<>();

    /** Adds the lines of a router's log. */
    void add(Path log) throws IOException {
        try (Stream<String> lines = Files.lines(log)) {
            lines.map(APPLIED::matcher)
                    .filter(Matcher::find)
                    .forEach(m -> delaysMs.computeIfAbsent(m.group(1), d -> new ArrayList<>())
                            .add(Double.parseDouble(m.group(2)) + Double.parseDouble(m.group(3))));
        }
    }

    /** Returns the ages of configurations when they were applied, in milliseconds, by what delivered them. */
    Map<String, List<Double>> delaysMs() {
        return delaysMs;
    }
}
