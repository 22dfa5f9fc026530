package org.ragwortrun.router.internal.flow;

import com.google.protobuf.ByteString;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.proto.Claim;
import org.ragwortrun.proto.Dispatch;
import org.ragwortrun.router.internal.request.AdmittedRequest;
import org.ragwortrun.router.internal.request.ChatRequest;
import org.ragwortrun.routing.EndpointCandidate;

/** Builds messages from an admitted request. */
final class FlowMessages {
    private FlowMessages() {}

    /** Returns a claim for an endpoint, or one without an endpoint to query the register for an earlier attempt. */
    static Claim claim(
            AdmittedRequest request, String incarnation, @Nullable EndpointCandidate candidate, int replacedAttempt) {
        Claim.Builder claim = Claim.newBuilder()
                .setBudget(request.budget())
                .setRequestId(request.id())
                .setDigest(request.digest())
                .setRepeatable(request.route().repeatable())
                .setIncarnation(incarnation)
                .setRoute(request.route().name())
                .setReplacesAttempt(replacedAttempt);
        request.key().ifPresent(k -> k.timeMs().ifPresent(claim::setKeyTimeMs));
        if (candidate != null) {
            claim.setAgent(candidate.name()).setAgentIncarnation(candidate.agentIncarnation());
        }
        return claim.build();
    }

    /** Returns the parts of a dispatch that do not depend on the attempt. */
    static Dispatch.Builder dispatch(AdmittedRequest request, String incarnation, EndpointCandidate candidate) {
        return Dispatch.newBuilder()
                .setBudget(request.budget())
                .setRequestId(request.id())
                .setIncarnation(incarnation)
                .setAgentIncarnation(candidate.agentIncarnation())
                .setConfigNumber(request.configuration().number())
                .setRoute(request.route().name())
                .setVersion(candidate.version())
                .setReserved(request.reserved())
                .setMaxOutput(request.maxOutput())
                .setPriority(request.route().priority())
                .setRepeatable(request.route().repeatable())
                .setStream(request.chat().map(ChatRequest::stream).orElse(false))
                .setMethod(request.caller().method())
                .setPath(request.caller().target())
                .addAllHeaders(ForwardedHeaders.of(request.caller()))
                .setBody(ByteString.copyFrom(request.caller().body()))
                .setDigest(request.digest())
                .addAllPromptParts(request.sharedParts());
    }
}
