package org.ragwortrun.core.refusal;

import java.util.Arrays;
import java.util.Optional;

/** Reasons for which a request is refused. Each has its own counter. */
public enum RefusalReason {
    MALFORMED_REQUEST("malformed-request", 400, "The request is malformed"),
    UNKNOWN_KEY("unknown-key", 401, "The API key is missing or unknown"),
    UNKNOWN_ROUTE("unknown-route", 404, "No route matches the request"),
    UNKNOWN_BUDGET("unknown-budget", 403, "The client account has no budget for this service"),
    REQUEST_TOO_LARGE("request-too-large", 413, "The request is larger than allowed"),
    REQUEST_TOO_SLOW("request-too-slow", 408, "The request arrived too slowly"),
    ID_MISSING("id-missing", 400, "This route requires an Idempotency-Key"),
    ID_WITHOUT_TIME("id-without-time", 400, "The Idempotency-Key must carry its time on this route"),
    ID_EXPIRED("id-expired", 409, "The request id is older than ids are remembered"),
    ID_IN_FUTURE("id-in-future", 400, "The request id claims a time in the future"),
    ID_REUSED("id-reused", 422, "The request id was used with other content"),
    ANSWER_EXPIRED("answer-expired", 410, "The request ran but its answer is no longer kept"),
    OUTCOME_UNKNOWN("outcome-unknown", 502, "It is not known whether the request ran"),
    BUDGET_SPENT("budget-spent", 402, "The prepaid budget is spent or held"),
    BUDGET_HELD("budget-held", 503, "The rest of the prepaid budget is held elsewhere for now"),
    BUDGET_UNREACHABLE("budget-unreachable", 503, "The owner of the budget cannot be reached"),
    REGISTER_UNREACHABLE("register-unreachable", 503, "The register of request ids cannot be reached"),
    CONFIGURATION_LEASE_EXPIRED("configuration-lease-expired", 503, "This host has no current configuration"),
    CONFIGURATION_UNCONFIRMED(
            "configuration-unconfirmed", 503, "This host does not know whether its configuration is the newest"),
    STOPPING("stopping", 503, "This host is stopping"),
    OVERLOADED("overloaded", 503, "This host has no memory left for the request"),
    HOST_OVERLOADED("host-overloaded", 503, "This host has more work than its link or processor can handle"),
    WAIT_TOO_LONG("wait-too-long", 503, "The request could not be served within its time limit"),
    QUEUE_FULL("queue-full", 503, "Too many requests wait for an endpoint"),
    NO_ENDPOINT("no-endpoint", 503, "No endpoint of the service is available"),
    ENDPOINT_FULL("endpoint-full", 503, "The endpoints have no room for the request"),
    ENDPOINT_LIMITED("endpoint-limited", 503, "The endpoint accepts no more requests for now"),
    ENDPOINT_FAILED("endpoint-failed", 502, "The endpoint failed"),
    ENDPOINT_TIMEOUT("endpoint-timeout", 504, "The endpoint did not answer in time"),
    REQUEST_CRASHES_ENDPOINTS("request-crashes-endpoints", 422, "This request crashed endpoints"),
    CONTENT_QUARANTINED("content-quarantined", 503, "Endpoints crashed while they ran this content"),
    PART_QUARANTINED("part-quarantined", 503, "Endpoints crashed while they ran prompts with this part"),
    ROUTER_FENCED("router-fenced", 503, "This host's incarnation has been fenced"),
    WRONG_INCARNATION("wrong-incarnation", 503, "The dispatch names another incarnation of the agent"),
    TOMBSTONE("tombstone", 409, "The request was given up before it arrived"),
    DUPLICATE_DISPATCH("duplicate-dispatch", 409, "The request is already known to the agent"),
    LEAVING("leaving", 503, "The endpoint is leaving"),
    INTERNAL("internal", 500, "Internal failure");

    private final String code;
    private final int status;
    private final String title;

    RefusalReason(String code, int status, String title) {
        this.code = code;
        this.status = status;
        this.title = title;
    }

    /** Returns the name in problem documents, logs and metrics. */
    public String code() {
        return code;
    }

    /** Returns the HTTP status code. */
    public int status() {
        return status;
    }

    public String title() {
        return title;
    }

    public static Optional<RefusalReason> ofCode(String code) {
        return Arrays.stream(values()).filter(r -> r.code.equals(code)).findFirst();
    }
}
