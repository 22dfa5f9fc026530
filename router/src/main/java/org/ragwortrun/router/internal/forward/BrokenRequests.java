package org.ragwortrun.router.internal.forward;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.ragwortrun.router.internal.evidence.EvidenceKey;

/** Requests that an endpoint broke off, until a check tells whether it has crashed. */
final class BrokenRequests {
    private static final int MOST_CONTENTS = 256;

    private final Set<ByteString> contents = new LinkedHashSet<>();
    private final List<EvidenceKey> failures = new ArrayList<>();
    private boolean checking;

    /**
     * What was broken off before a check ended.
     *
     * @param contents digests of the requests' contents, each once
     * @param failures for each request, what its failure counts against
     */
    record Broken(List<ByteString> contents, List<EvidenceKey> failures) {}

    /** Notes a request and tells whether a check has to begin. */
    boolean add(ByteString content, EvidenceKey failure) {
        if (contents.size() < MOST_CONTENTS) {
            contents.add(content);
        }
        failures.add(failure);
        boolean begins = !checking;
        checking = true;
        return begins;
    }

    /** Ends the check and returns what was broken off until now. */
    Broken endCheck() {
        Broken all = new Broken(List.copyOf(contents), List.copyOf(failures));
        contents.clear();
        failures.clear();
        checking = false;
        return all;
    }
}
