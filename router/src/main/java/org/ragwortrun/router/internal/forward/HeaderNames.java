package org.ragwortrun.router.internal.forward;

import java.util.List;

/**
 * Names of the headers that routers, callers and endpoints use.
 *
 * @param requestId id of one attempt by a caller, echoed by endpoints
 * @param key API key of the caller; never forwarded
 * @param account client account, set by the router
 * @param deadline time in milliseconds that the sender still waits
 * @param usage prompt tokens and maximum output tokens, separated by a comma
 * @param parts parts of the prompt as ID:TOKENS, separated by commas
 * @param proof header by which an endpoint marks an answer as its own
 * @param notRun header by which an endpoint states that it did not run the request
 * @param expectedEndpoint id of the only endpoint that may run the request
 * @param endpointId id of the endpoint that answers
 * @param urgency rank of the request at an engine; 0 runs first
 * @param leaving header with the value 1 by which an endpoint announces in any answer that it is leaving
 * @param limit header by which an endpoint names in its answers how many requests per second it accepts from all
 *     routers together
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
        String limit,
        List<String> reserved) {

    /** Header names of the project's own interface. */
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
            "Ragwortrun-Limit",
            List.of());
}
