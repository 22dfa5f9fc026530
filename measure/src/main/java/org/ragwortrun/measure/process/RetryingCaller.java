package org.ragwortrun.measure.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.concurrent.TimeUnit;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.measure.fleet.Caller;
import org.ragwortrun.measure.fleet.ChatCompletion;
import org.ragwortrun.measure.fleet.Fleet;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.measure.fleet.Response;
import org.ragwortrun.measure.fleet.SmallFleet;
import org.ragwortrun.standins.ExpectedAnswer;

/** Retries a request with the same idempotency key, alternating between routers, until the response is final. */
final class RetryingCaller {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String ENDPOINT_FAILED = RefusalReason.ENDPOINT_FAILED.code();
    private static final int MAX_ATTEMPTS = 40;
    private static final long RETRY_DELAY_MS = 250;
    private static final int MAX_TOKENS = 24;
    private static final String[] ROUTERS = {"r1", "r2"};

    private final Fleet fleet;
    private final Caller caller = new Caller(SmallFleet.DEALER_KEY);

    RetryingCaller(Fleet fleet) {
        this.fleet = fleet;
    }

    RequestResult chat(String id, String prompt, boolean stream, int firstRouter) throws FleetException {
        String expected = ExpectedAnswer.to(prompt).text(MAX_TOKENS).strip();
        return sendWithRetries(firstRouter, router -> {
            Response answer = caller.chat(fleet.url(router), SmallFleet.MODEL, prompt, MAX_TOKENS, stream, id);
            if (answer.status() != 200) {
                return answer;
            }
            ChatCompletion chat = ChatCompletion.of(answer, stream);
            if (!chat.complete()) {
                // The caller sees that the answer is incomplete and retries, as after a connection failure.
                return new Response(0, "incomplete answer", answer.headers());
            }
            boolean correct = chat.text().strip().equals(expected);
            return correct ? answer : new Response(-1, answer.body(), answer.headers());
        });
    }

    RequestResult order(String id, int firstRouter) throws FleetException {
        String body = "{\"order\":\"" + id + "\"}";
        return sendWithRetries(firstRouter, router -> caller.post(fleet.url(router) + "/orders/place", body, id));
    }

    private RequestResult sendWithRetries(int firstRouter, Attempt attempt) throws FleetException {
        RequestResult last = new RequestResult(RequestOutcome.UNKNOWN, "");
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            Response answer = attempt.send(ROUTERS[(firstRouter + i) % ROUTERS.length]);
            if (answer.status() == 200 || answer.status() == 201) {
                return new RequestResult(RequestOutcome.ANSWERED, "");
            }
            if (answer.status() < 0) {
                return new RequestResult(RequestOutcome.WRONG, answer.body());
            }
            if (answer.status() > 0) {
                last = new RequestResult(refusalOutcome(answer), answer.body());
                boolean retryable = !answer.header("Retry-After").isEmpty();
                if (!retryable) {
                    return last;
                }
            }
            awaitRetryDelay();
        }
        return last;
    }

    private static RequestOutcome refusalOutcome(Response answer) throws FleetException {
        try {
            JsonNode problem = JSON.readTree(answer.body());
            return switch (problem.path("run").asText()) {
                case "not run" -> RequestOutcome.NOT_RUN;
                case "ran" ->
                    ENDPOINT_FAILED.equals(problem.path("reason").asText())
                            ? RequestOutcome.FAILED
                            : RequestOutcome.RAN;
                default -> RequestOutcome.UNKNOWN;
            };
        } catch (JsonProcessingException e) {
            throw new FleetException("refusal is not a problem document: " + answer.body(), e);
        }
    }

    private static void awaitRetryDelay() throws FleetException {
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("interrupted", e);
        }
    }

    /** One attempt to send a request through a router. */
    @FunctionalInterface
    private interface Attempt {
        Response send(String router) throws FleetException;
    }
}
