package org.ragwortrun.router.internal.forward;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.ragwortrun.router.internal.evidence.EvidenceKey;

/** Requests that an endpoint interrupted, kept until a check shows whether the endpoint has crashed. */
final class InterruptedRequests {
    private static final int MAX_CONTENTS = 256;

    private final Set<ByteString> contents = new LinkedHashSet<>();
    private final List<EvidenceKey> failures = new ArrayList<>();
    private final List<List<ByteString>> unansweredParts = new ArrayList<>();
    private boolean checkRunning;

    /**
     * Requests that were interrupted before a check ended.
     *
     * @param contents digests of the requests' contents, without duplicates
     * @param failures for each request, the evidence key that its failure counts against
     * @param unansweredParts for each request whose answer had not begun, digests of the parts of its prompt
     */
    record Interrupted(List<ByteString> contents, List<EvidenceKey> failures, List<List<ByteString>> unansweredParts) {}

    /**
     * Adds a request and returns whether a check has to be started.
     *
     * @param parts digests of the parts of its prompt if its answer had not begun, otherwise empty
     */
    boolean add(ByteString content, EvidenceKey failure, List<ByteString> parts) {
        if (contents.size() < MAX_CONTENTS) {
            contents.add(content);
        }
        if (!parts.isEmpty() && unansweredParts.size() < MAX_CONTENTS) {
            unansweredParts.add(parts);
        }
        failures.add(failure);
        boolean startsCheck = !checkRunning;
        checkRunning = true;
        return startsCheck;
    }

    /** Ends the check and returns the requests that were interrupted until now. */
    Interrupted endCheck() {
        Interrupted all = new Interrupted(List.copyOf(contents), List.copyOf(failures), List.copyOf(unansweredParts));
        contents.clear();
        unansweredParts.clear();
        failures.clear();
        checkRunning = false;
        return all;
    }
}
