package org.ragwortrun.core.id;

import java.security.SecureRandom;
import java.util.HexFormat;

/** Creates incarnation names, which identify one run of a process. */
public final class Incarnations {
    private static final int RANDOM_BYTES = 6;

    private Incarnations() {}

    /** Returns a name that differs from those of all earlier processes with the same process name. */
    public static String create(String name, long wallMillis) {
        byte[] random = new byte[RANDOM_BYTES];
        new SecureRandom().nextBytes(random);
        return name + "@" + Long.toHexString(wallMillis) + HexFormat.of().formatHex(random);
    }
}
