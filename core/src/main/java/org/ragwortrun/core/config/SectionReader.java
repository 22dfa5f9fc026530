package org.ragwortrun.core.config;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.ragwortrun.proto.Section;

/** Reads typed values from sections and collects errors. */
final class SectionReader {
    private static final String TOP_UP_PREFIX = "topup.";
    private static final int DEFAULT_TRIAL_PERMILLE = 50;
    private static final int DEFAULT_PRIORITY = 5;
    private static final long DEFAULT_MAX_OUTPUT = 1024;
    private static final int DEFAULT_SLOTS = 16;
    private static final int DEFAULT_CONNECTIONS = 256;
    private static final String TOTAL = "prepaid";
    private static final String REGIONS = "regions";
    private static final double MAX_WARM_UP_RATE = 1_000_000;
    private static final Duration MAX_WARM_UP = Duration.ofMinutes(10);

    private final List<ConfigurationError> errors = new ArrayList<>();

    List<Account> accounts(Collection<Section> sections) {
        return read(
                sections,
                SectionKind.ACCOUNT,
                s -> new Account(s.getName(), list(s, "keys"), priority(s), yesOrNo(s, "metered", false), regions(s)));
    }

    List<Budget> budgets(Collection<Section> sections) {
        return read(sections, SectionKind.BUDGET, s -> {
            String[] parts = s.getName().split("/", 2);
            OptionalLong total =
                    s.containsProperties(TOTAL) ? OptionalLong.of(number(s, TOTAL, 0)) : OptionalLong.empty();
            if (parts.length < 2 && total.isEmpty()) {
                fail(s, "", "budget-name", "a name of the form ACCOUNT/SERVICE, or the key " + TOTAL);
            }
            return new Budget(parts[0], parts.length < 2 ? Budget.ALL_ORIGINS : parts[1], topUps(s), total);
        });
    }

    List<Origin> origins(Collection<Section> sections) {
        return read(
                sections,
                SectionKind.ORIGIN,
                s -> new Origin(
                        s.getName(),
                        yesOrNo(s, "model", false),
                        text(s, "health", "/"),
                        (int) number(s, "max-connections", DEFAULT_CONNECTIONS, Integer.MAX_VALUE),
                        (int) number(s, "slots", 0, Integer.MAX_VALUE),
                        number(s, "kv-capacity", 0),
                        (int) number(s, "tokens-per-event", 1, Integer.MAX_VALUE),
                        warmUp(s),
                        decimal(s, "warm-up-rate", 0, MAX_WARM_UP_RATE)));
    }

    List<Forward> forwards(Collection<Section> sections) {
        return read(
                sections,
                SectionKind.FORWARD,
                s -> new Forward(
                        s.getName(),
                        required(s, "host"),
                        required(s, "path"),
                        choice(s, "kind", Forward.Kind.class),
                        yesOrNo(s, "resumable", false),
                        positive(s, "timeout", Duration.ofSeconds(60)),
                        duration(s, "goal", Duration.ofSeconds(1)),
                        duration(s, "gap", Duration.ofSeconds(1)),
                        (int) number(s, "priority", DEFAULT_PRIORITY, Integer.MAX_VALUE),
                        shares(s),
                        (int) number(s, "attempts", 1, Integer.MAX_VALUE),
                        yesOrNo(s, "open", false),
                        yesOrNo(s, "sticky", false),
                        regions(s)));
    }

    Optional<CallerLimits> limits(Collection<Section> sections) {
        CallerLimits defaults = CallerLimits.DEFAULTS;
        return read(
                        sections,
                        SectionKind.LIMITS,
                        s -> new CallerLimits(
                                (int) number(s, "header-bytes", defaults.headerBytes(), Integer.MAX_VALUE),
                                (int) number(s, "body-bytes", defaults.bodyBytes(), Integer.MAX_VALUE),
                                positive(s, "header-timeout", defaults.headerTimeout()),
                                positive(s, "idle-timeout", defaults.idleTimeout())))
                .stream()
                .findFirst();
    }

    /** Reads {@code to = origin-a:90, origin-b:10}; one origin without a weight gets all requests. */
    private Map<String, Integer> shares(Section s) {
        Map<String, Integer> shares = new LinkedHashMap<>();
        for (String item : required(s, "to").split(",")) {
            String[] parts = item.trim().split(":", 2);
            try {
                shares.merge(parts[0], parts.length < 2 ? 1 : Integer.parseInt(parts[1].trim()), Math::addExact);
            } catch (NumberFormatException | ArithmeticException e) {
                fail(s, "to", "share", "ORIGIN:WEIGHT with a whole number as weight");
            }
        }
        boolean usable = shares.values().stream().allMatch(w -> w >= 0)
                && shares.values().stream().mapToLong(Integer::longValue).sum() > 0;
        if (!usable) {
            fail(s, "to", "weights", "weights that are not negative and do not add up to 0");
        }
        return shares;
    }

    /** Reads a list of regions. A list that is present must name at least one, so that it never means all regions. */
    private Set<String> regions(Section s) {
        if (!s.containsProperties(REGIONS)) {
            return Set.of();
        }
        List<String> names = Arrays.stream(s.getPropertiesOrDefault(REGIONS, "").split(",", -1))
                .map(String::trim)
                .toList();
        if (!names.stream().allMatch(Locations::isRegion)) {
            fail(s, REGIONS, "regions", "names of 1 to 64 visible characters, separated by commas");
        }
        return Set.copyOf(new LinkedHashSet<>(names));
    }

    private OptionalInt priority(Section s) {
        return s.containsProperties("priority")
                ? OptionalInt.of((int) number(s, "priority", DEFAULT_PRIORITY, Integer.MAX_VALUE))
                : OptionalInt.empty();
    }

    /** Reads how long an endpoint is cold, which must be known if a warm-up rate is given. */
    private Duration warmUp(Section s) {
        Duration time = duration(s, "warm-up", Duration.ZERO);
        boolean limited = decimal(s, "warm-up-rate", 0, MAX_WARM_UP_RATE) > 0;
        if (limited && time.isZero() || time.compareTo(MAX_WARM_UP) > 0) {
            fail(s, "warm-up", "warm-up", "a duration of at most 10m, above 0 if there is a warm-up-rate");
        }
        return time;
    }

    private Duration positive(Section s, String key, Duration fallback) {
        Duration value = duration(s, key, fallback);
        if (value.isZero()) {
            fail(s, key, "positive-duration", "a duration above 0");
        }
        return value;
    }

    List<Service> services(Collection<Section> sections) {
        return read(
                sections,
                SectionKind.SERVICE,
                s -> new Service(
                        s.getName(),
                        choice(s, "kind", Service.Kind.class),
                        text(s, "model", ""),
                        required(s, "version")));
    }

    List<Route> routes(Collection<Section> sections) {
        return read(
                sections,
                SectionKind.ROUTE,
                s -> new Route(
                        s.getName(),
                        required(s, "service"),
                        required(s, "path"),
                        yesOrNo(s, "repeatable", true),
                        number(s, "price", 0),
                        number(s, "max-output", DEFAULT_MAX_OUTPUT),
                        (int) number(s, "priority", DEFAULT_PRIORITY, Integer.MAX_VALUE),
                        duration(s, "deadline", Duration.ofSeconds(60))));
    }

    List<Endpoint> endpoints(Collection<Section> sections) {
        return read(
                sections,
                SectionKind.ENDPOINT,
                s -> new Endpoint(
                        s.getName(),
                        required(s, "service"),
                        required(s, "version"),
                        required(s, "agent"),
                        required(s, "url"),
                        required(s, "data-center"),
                        (int) number(s, "slots", DEFAULT_SLOTS, Integer.MAX_VALUE),
                        number(s, "kv-capacity", 0),
                        yesOrNo(s, "checks-fencing", false),
                        text(s, "dedupe-header", "")));
    }

    List<Move> moves(Collection<Section> sections) {
        return read(
                sections,
                SectionKind.MOVE,
                s -> new Move(
                        s.getName(),
                        required(s, "service"),
                        required(s, "from"),
                        required(s, "to"),
                        permille(s, "share", 1000),
                        permille(s, "trial-share", DEFAULT_TRIAL_PERMILLE),
                        instant(s, "start", Instant.EPOCH),
                        instant(s, "finish", Instant.MAX)));
    }

    void throwIfErrors() throws ConfigurationException {
        if (!errors.isEmpty()) {
            throw new ConfigurationException(errors);
        }
    }

    private static <T> List<T> read(Collection<Section> sections, SectionKind kind, Function<Section, T> reader) {
        return sections.stream()
                .filter(s -> s.getKind().equals(kind.text()))
                .map(reader)
                .toList();
    }

    private Map<String, Long> topUps(Section s) {
        Map<String, Long> topUps = new LinkedHashMap<>();
        s.getPropertiesMap().keySet().stream()
                .filter(k -> k.startsWith(TOP_UP_PREFIX))
                .sorted()
                .forEach(k -> topUps.put(k.substring(TOP_UP_PREFIX.length()), number(s, k, 0)));
        return topUps;
    }

    private String required(Section s, String key) {
        String value = s.getPropertiesOrDefault(key, "");
        if (value.isBlank()) {
            fail(s, key, "required-key", "a value");
        }
        return value;
    }

    private static String text(Section s, String key, String fallback) {
        return s.getPropertiesOrDefault(key, fallback);
    }

    private static Set<String> list(Section s, String key) {
        return Arrays.stream(s.getPropertiesOrDefault(key, "").split(","))
                .map(String::trim)
                .filter(v -> !v.isEmpty())
                .collect(Collectors.toUnmodifiableSet());
    }

    private boolean yesOrNo(Section s, String key, boolean fallback) {
        String value = s.getPropertiesOrDefault(key, fallback ? "yes" : "no");
        if (!"yes".equals(value) && !"no".equals(value)) {
            fail(s, key, "yes-or-no", "yes or no");
        }
        return "yes".equals(value);
    }

    private long number(Section s, String key, long fallback) {
        return number(s, key, fallback, Long.MAX_VALUE);
    }

    private long number(Section s, String key, long fallback, long max) {
        String value = s.getPropertiesOrDefault(key, Long.toString(fallback));
        try {
            long n = Long.parseLong(value.replace("_", ""));
            if (n >= 0 && n <= max) {
                return n;
            }
        } catch (NumberFormatException e) {
            // reported below with the numbers out of range
        }
        fail(s, key, "whole-number", "a whole number from 0 to " + max);
        return fallback;
    }

    private double decimal(Section s, String key, double fallback, double max) {
        String value = s.getPropertiesMap().get(key);
        if (value == null) {
            return fallback;
        }
        try {
            double n = Double.parseDouble(value.trim());
            if (n >= 0 && n <= max) {
                return n;
            }
        } catch (NumberFormatException e) {
            // reported below with the numbers out of range
        }
        fail(s, key, "number", "a number from 0 to " + max);
        return fallback;
    }

    /** Reads a percentage such as {@code 12.5%} or {@code 12.5}. */
    private int permille(Section s, String key, int fallback) {
        String value = s.getPropertiesMap().get(key);
        if (value == null) {
            return fallback;
        }
        try {
            double percent = Double.parseDouble(value.replace("%", "").trim());
            if (percent >= 0 && percent <= 100) {
                return (int) Math.round(percent * 10);
            }
        } catch (NumberFormatException e) {
            // reported below with the values out of range
        }
        fail(s, key, "percentage", "a percentage from 0 to 100");
        return fallback;
    }

    private Duration duration(Section s, String key, Duration fallback) {
        String value = s.getPropertiesMap().get(key);
        if (value == null) {
            return fallback;
        }
        try {
            return Durations.parse(value);
        } catch (DateTimeException e) {
            fail(s, key, "duration", "a duration such as 500ms, 30s, 10m or 24h");
            return fallback;
        }
    }

    private Instant instant(Section s, String key, Instant fallback) {
        String value = required(s, key);
        if (value.isBlank()) {
            return fallback;
        }
        try {
            // Other code converts times to milliseconds, so a time that would overflow is invalid.
            return Instant.ofEpochMilli(Instant.parse(value).toEpochMilli());
        } catch (DateTimeException | ArithmeticException e) {
            fail(s, key, "time", "a UTC time such as 2026-12-04T18:00:00Z");
            return fallback;
        }
    }

    private <E extends Enum<E>> E choice(Section s, String key, Class<E> type) {
        E[] values = type.getEnumConstants();
        String value = s.getPropertiesOrDefault(key, "");
        return Arrays.stream(values)
                .filter(v -> v.name().toLowerCase(Locale.ROOT).equals(value))
                .findFirst()
                .orElseGet(() -> {
                    String expected = Arrays.stream(values)
                            .map(v -> v.name().toLowerCase(Locale.ROOT))
                            .collect(Collectors.joining(" or "));
                    fail(s, key, "choice", expected);
                    return values[0];
                });
    }

    private void fail(Section s, String key, String rule, String expected) {
        errors.add(
                new ConfigurationError(s.getFile(), s.getLine(), s.getKind() + " " + s.getName(), key, rule, expected));
    }
}
