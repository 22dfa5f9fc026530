package org.ragwortrun.core.config;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** Finds the forward of a request: among those of its host, the one with the longest path prefix. Immutable. */
public final class ForwardTable {
    private final Map<String, List<Forward>> byHost;
    private final Map<String, Forward> byName;

    ForwardTable(Collection<Forward> forwards) {
        byHost = forwards.stream()
                .sorted(Comparator.comparingInt((Forward f) -> f.path().length())
                        .reversed()
                        .thenComparing(Forward::name))
                .collect(Collectors.groupingBy(f -> normalized(f.host())));
        byName = forwards.stream().collect(Collectors.toUnmodifiableMap(Forward::name, f -> f, (a, b) -> a));
    }

    public Optional<Forward> named(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    public Optional<Forward> find(String host, String path) {
        return byHost.getOrDefault(normalized(host), List.of()).stream()
                .filter(f -> path.startsWith(f.path()))
                .findFirst();
    }

    public List<Forward> all() {
        return byHost.values().stream().flatMap(List::stream).toList();
    }

    /** Removes the port and converts to lower case, since neither matters for matching hosts. */
    private static String normalized(String host) {
        int port = host.lastIndexOf(':');
        String name = port > 0 && host.indexOf(']') < port ? host.substring(0, port) : host;
        return name.toLowerCase(Locale.ROOT);
    }
}
