package org.ragwortrun.measure.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.concurrent.TimeUnit;
import org.ragwortrun.core.refusal.RefusalReason;
import org.ragwortrun.measure.fleet.Answer;
import org.ragwortrun.measure.fleet.Caller;
import org.ragwortrun.measure.fleet.ChatCompletion;
import org.ragwortrun.measure.fleet.Fleet;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.measure.fleet.SmallFleet;
import org.ragwortrun.standins.ExpectedAnswer;

/** A caller that repeats a request under its id, at changing routers, until the answer is final. */
final class WatchedCaller {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String ENDPOINT_FAILED = RefusalReason.ENDPOINT_FAILED.code();
    private static final int TRIES = 40;
    private static final long PAUSE_MS = 250;
    private static final int MAX_TOKENS = 24;
    private static final String[] ROUTERS = {"r1", "r2"};

    private final Fleet fleet;
    private final Caller caller = new Caller(SmallFleet.DEALER_KEY);

    WatchedCaller(Fleet fleet) {
        this.fleet = fleet;
    }

    EndedRequest ask(String id, String prompt, boolean stream, int firstRouter) throws FleetException {
        String expected = ExpectedAnswer.to(prompt).text(MAX_TOKENS).strip();
        return repeat(firstRouter, router -> {
            Answer answer = caller.chat(fleet.url(router), SmallFleet.MODEL, prompt, MAX_TOKENS, stream, id);
            if (answer.status() != 200) {
                return answer;
            }
            ChatCompletion chat = ChatCompletion.of(answer, stream);
            if (!chat.complete()) {
                // The caller sees that the answer was cut off and asks again, as after a broken connection.
                return new Answer(0, "cut off", answer.headers());
            }
            boolean right = chat.text().strip().equals(expected);
            return right ? answer : new Answer(-1, answer.body(), answer.headers());
        });
    }

    EndedRequest order(String id, int firstRouter) throws FleetException {
        String body = "{\"order\":\"" + id + "\"}";
        return repeat(firstRouter, router -> caller.post(fleet.url(router) + "/orders/place", body, id));
    }

    private EndedRequest repeat(int firstRouter, Attempt attempt) throws FleetException {
        EndedRequest last = new EndedRequest(RequestOutcome.UNKNOWN, "");
        for (int i = 0; i < TRIES; i++) {
            Answer answer = attempt.at(ROUTERS[(firstRouter + i) % ROUTERS.length]);
            if (answer.status() == 200 || answer.status() == 201) {
                return new EndedRequest(RequestOutcome.ANSWERED, "");
            }
            if (answer.status() < 0) {
                return new EndedRequest(RequestOutcome.WRONG, answer.body());
            }
            if (answer.status() > 0) {
                last = new EndedRequest(refused(answer), answer.body());
                boolean comeBack = !answer.header("Retry-After").isEmpty();
                if (!comeBack) {
                    return last;
                }
            }
            pause();
        }
        return last;
    }

    private static RequestOutcome refused(Answer answer) throws FleetException {
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

    private static void pause() throws FleetException {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("interrupted", e);
        }
    }

    /** One try at a router. */
    @FunctionalInterface
    private interface Attempt {
        Answer at(String router) throws FleetException;
    }
}
