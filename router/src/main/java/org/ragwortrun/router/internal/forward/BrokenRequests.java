package org.ragwortrun.router.internal.forward;

import com.google.protobuf.ByteString;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Contents whose requests an endpoint broke off, until a check tells whether it has crashed. */
final class BrokenRequests {
    private static final int MOST_CONTENTS = 256;

    private final Set<ByteString> contents = new LinkedHashSet<>();
    private boolean checking;

    /** Notes content and tells whether a check has to begin. */
    boolean add(ByteString content) {
        if (contents.size() < MOST_CONTENTS) {
            contents.add(content);
        }
        boolean begins = !checking;
        checking = true;
        return begins;
    }

    /** Ends the check and returns what was broken off until now. */
    List<ByteString> endCheck() {
        List<ByteString> all = List.copyOf(contents);
        contents.clear();
        checking = false;
        return all;
    }
}
