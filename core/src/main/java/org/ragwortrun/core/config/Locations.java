package org.ragwortrun.core.config;

/** Checks names of data centers and regions, which are replicated and logged. */
public final class Locations {
    private static final int MAX_CHARS = 64;

    private Locations() {}

    /** Returns whether a name has 1 to 64 visible ASCII characters and no slash, which separates parts of a path. */
    public static boolean isDataCenter(String name) {
        return isVisible(name) && name.indexOf('/') < 0;
    }

    /** Returns whether a name has 1 to 64 visible ASCII characters and no comma, which separates names in a list. */
    public static boolean isRegion(String name) {
        return isVisible(name) && name.indexOf(',') < 0;
    }

    private static boolean isVisible(String name) {
        return !name.isEmpty() && name.length() <= MAX_CHARS && name.chars().allMatch(c -> c > ' ' && c < 0x7f);
    }
}
