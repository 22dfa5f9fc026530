package org.ragwortrun.router.internal.request;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Route;
import org.ragwortrun.core.config.Service;
import org.ragwortrun.proto.BudgetRef;

/**
 * A request that passed all local rules.
 *
 * @param caller the request
 * @param id request id
 * @param key Idempotency-Key, if the caller sent one
 * @param configuration configuration in force when it was admitted
 * @param route route
 * @param service service of the route
 * @param chat parsed body of a model route
 * @param budget budget that pays for it
 * @param digest digest of its content
 * @param maxOutput allowed output in tokens, 0 for plain services
 * @param reserved tokens to reserve
 */
public record AdmittedRequest(
        CallerRequest caller,
        String id,
        Optional<IdempotencyKey> key,
        Configuration configuration,
        Route route,
        Service service,
        Optional<ChatRequest> chat,
        BudgetRef budget,
        ByteString digest,
        long maxOutput,
        long reserved) {

    public boolean hasKey() {
        return key.isPresent();
    }

    /** Returns the digests of the parts of its prompt that other requests may share. */
    public List<ByteString> sharedParts() {
        return chat.map(ChatRequest::sharedParts).orElse(List.of());
    }

    public boolean isModel() {
        return chat.isPresent();
    }
}
