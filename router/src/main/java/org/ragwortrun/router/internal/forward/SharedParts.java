package org.ragwortrun.router.internal.forward;

import com.google.protobuf.ByteString;
import java.util.List;
import org.ragwortrun.core.id.Digests;

/** Digests of the parts of a prompt that other requests may share. */
final class SharedParts {
    private SharedParts() {}

    /** Returns the digests of all parts but the last one, which belongs to the request or its session. */
    static List<ByteString> of(String origin, List<PromptPart> parts) {
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .map(p -> ByteString.copyFrom(Digests.promptPart(origin, p.id())))
                .toList();
    }
}
