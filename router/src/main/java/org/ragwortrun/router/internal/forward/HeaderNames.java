package org.ragwortrun.router.internal.forward;

import java.util.List;

/**
 * Names of the headers by which routers, callers and endpoints understand each other.
 *
 * @param requestId id of one attempt of a caller, echoed by endpoints
 * @param key API key of the caller; never passed on
 * @param account client account, set by the router
 * @param deadline milliseconds that the sender still waits
 * @param usage prompt tokens and most output tokens, with a comma between
 * @param parts parts of the prompt as ID:TOKENS with commas between
 * @param proof header by which an endpoint marks an answer as its own
 * @param notRun header by which an endpoint states that it did not run the request
 * @param expectedEndpoint id of the endpoint that alone may run the request
 * @param endpointId id of the endpoint that answers
 * @param urgency rank of the request at an engine, 0 first
 * @param leaving header by which an endpoint says in any answer that it leaves, with the value 1
 * @param reserved further headers that only the system may set; removed from callers' requests
 */
public record HeaderNames(
        String requestId,
        String key,
        String account,
        String deadline,
        String usage,
        String parts,
        String proof,
        String notRun,
        String expectedEndpoint,
        String endpointId,
        String urgency,
        String leaving,
        List<String> reserved) {

    /** Names of the project's own interface. */
    public static final HeaderNames STANDARD = new HeaderNames(
            "X-Request-Id",
            "Authorization",
            "Ragwortrun-Account",
            "Ragwortrun-Deadline-Ms",
            "Ragwortrun-Usage",
            "Ragwortrun-Prompt-Parts",
            "Ragwortrun-Proof",
            "Ragwortrun-Not-Run",
            "Ragwortrun-Expect-Endpoint",
            "Ragwortrun-Endpoint",
            "Ragwortrun-Urgency",
            "Ragwortrun-Leaving",
            List.of());
}
