package org.ragwortrun.cli.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.ragwortrun.proto.Section;

/**
 * One difference between the configuration in force and the files of a folder.
 *
 * @param change kind of change to the section or key
 * @param section section as {@code kind name}
 * @param key key, empty if the whole section is added or removed
 * @param before value in force, empty if there is none
 * @param after value in the files, empty if there is none
 */
record Difference(Change change, String section, String key, String before, String after) {
    /** Kind of change to a section or key. */
    enum Change {
        ADDED,
        REMOVED,
        CHANGED
    }

    /** Returns all differences, sorted by section name. File names and line numbers are not compared. */
    static List<Difference> between(List<Section> inForce, List<Section> files) {
        Map<String, Section> before = index(inForce);
        Map<String, Section> after = index(files);
        SortedSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        List<Difference> all = new ArrayList<>();
        for (String name : names) {
            Section old = before.get(name);
            Section now = after.get(name);
            if (old == null) {
                all.add(new Difference(Change.ADDED, name, "", "", ""));
            } else if (now == null) {
                all.add(new Difference(Change.REMOVED, name, "", "", ""));
            } else {
                addKeys(all, name, old.getPropertiesMap(), now.getPropertiesMap());
            }
        }
        return all;
    }

    @Override
    public String toString() {
        String where = "[" + section + "]" + (key.isEmpty() ? "" : " " + key);
        return switch (change) {
            case ADDED -> "+ " + where + (key.isEmpty() ? "" : " = " + after);
            case REMOVED -> "- " + where + (key.isEmpty() ? "" : " = " + before);
            case CHANGED -> "~ " + where + " = " + before + " -> " + after;
        };
    }

    private static void addKeys(List<Difference> all, String name, Map<String, String> old, Map<String, String> now) {
        SortedSet<String> keys = new TreeSet<>(old.keySet());
        keys.addAll(now.keySet());
        for (String key : keys) {
            String was = old.get(key);
            String is = now.get(key);
            if (was == null && is != null) {
                all.add(new Difference(Change.ADDED, name, key, "", is));
            } else if (was != null && is == null) {
                all.add(new Difference(Change.REMOVED, name, key, was, ""));
            } else if (was != null && is != null && !was.equals(is)) {
                all.add(new Difference(Change.CHANGED, name, key, was, is));
            }
        }
    }

    private static Map<String, Section> index(List<Section> sections) {
        Map<String, Section> byName = new TreeMap<>();
        sections.forEach(s -> byName.put(s.getKind() + " " + s.getName(), s));
        return byName;
    }
}
