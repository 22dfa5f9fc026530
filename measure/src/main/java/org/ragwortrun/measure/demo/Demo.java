package org.ragwortrun.measure.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.ragwortrun.measure.fleet.Caller;
import org.ragwortrun.measure.fleet.ChatCompletion;
import org.ragwortrun.measure.fleet.CommandResult;
import org.ragwortrun.measure.fleet.Fleet;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.measure.fleet.Response;
import org.ragwortrun.measure.fleet.SmallFleet;
import org.ragwortrun.standins.ExpectedAnswer;

/** Sends requests through a fleet, moves its traffic to a new version and compares every answer and bill. */
final class Demo {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int TOKEN_MILLIS = 2;
    private static final int MAX_TOKENS = 12;
    private static final int QUESTIONS = 4;
    private static final long MOVE_SECONDS = 25;
    private static final String[] ROUTERS = {"r1", "r2"};

    private final PrintStream out;
    private final Checks checks;
    private final Map<String, Long> billed = new HashMap<>();
    private final Map<String, Long> bills = new HashMap<>();

    Demo(PrintStream out, Checks checks) {
        this.out = out;
        this.checks = checks;
    }

    void run() throws FleetException {
        try (Fleet fleet = SmallFleet.create(TOKEN_MILLIS)) {
            long began = System.nanoTime();
            SmallFleet.start(fleet);
            out.println("started 3 control members, 2 routers and 4 agents with endpoints in " + seconds(began) + " s");
            Caller dealer = new Caller(SmallFleet.DEALER_KEY);
            Caller workshop = new Caller(SmallFleet.WORKSHOP_KEY);
            for (int i = 0; i < QUESTIONS; i++) {
                String router = ROUTERS[i % ROUTERS.length];
                ask(fleet, SmallFleet.DEALER, dealer, router, "question " + i, i % 2 == 0, true);
                ask(fleet, SmallFleet.WORKSHOP, workshop, router, "fault " + i, i % 2 == 1, true);
            }
            order(fleet, dealer);
            refused(fleet, workshop);
            move(fleet, dealer);
            statement(fleet, SmallFleet.DEALER);
            statement(fleet, SmallFleet.WORKSHOP);
            List<String> failed = fleet.stopAll();
            checks.equal("processes that did not stop gracefully", List.of(), failed);
            out.println("stopped after " + seconds(began) + " s");
        }
    }

    private void ask(
            Fleet fleet, String account, Caller caller, String router, String prompt, boolean stream, boolean print)
            throws FleetException {
        Response answer = caller.chat(fleet.url(router), SmallFleet.MODEL, prompt, MAX_TOKENS, stream, "");
        if (answer.status() != 200) {
            checks.fail(account + " got " + answer.status() + " for \"" + prompt + "\": " + answer.body());
            return;
        }
        ChatCompletion chat = ChatCompletion.of(answer, stream);
        checks.equal(
                "answer to " + prompt,
                ExpectedAnswer.to(prompt).text(MAX_TOKENS).strip(),
                chat.text().strip());
        checks.equal("answer to " + prompt + " is whole", true, chat.complete());
        bill(account + "/assistant", chat.totalTokens());
        if (print) {
            out.println(account + " asked \"" + prompt + "\" at " + router + (stream ? " streamed" : "") + ": \""
                    + chat.text().strip() + "\" tokens=" + chat.totalTokens());
        }
    }

    private void order(Fleet fleet, Caller dealer) throws FleetException {
        String id = Instant.now().getEpochSecond() + "-order-1";
        Response first = dealer.post(fleet.url("r1") + "/orders/place", "{\"item\":3}", id);
        Response second = dealer.post(fleet.url("r2") + "/orders/place", "{\"item\":3}", id);
        Response other = dealer.post(fleet.url("r2") + "/orders/place", "{\"item\":4}", id);
        bill("dealer/orders", SmallFleet.ORDER_PRICE);
        checks.equal("order placed", 201, first.status());
        checks.equal("repeated order has the same answer", first.body(), second.body());
        checks.equal("same id with other content", 422, other.status());
        Response record = dealer.get(fleet.endpointUrl("s1") + "/standin/record");
        checks.equal("runs of the order", 1, ordersIn(record.body()));
        out.println("dealer placed an order twice under one id: " + first.body() + ", run once");
    }

    private void refused(Fleet fleet, Caller workshop) throws FleetException {
        String id = Instant.now().getEpochSecond() + "-order-2";
        Response answer = workshop.post(fleet.url("r1") + "/orders/place", "{\"item\":1}", id);
        checks.equal("order without a budget", 403, answer.status());
        out.println("workshop has no budget for orders: " + answer.body());
    }

    private void move(Fleet fleet, Caller dealer) throws FleetException {
        Instant start = Instant.now();
        String move = "[move assistant-v2]\nservice = assistant\nfrom = v1\nto = v2\nshare = 100%\ntrial-share = 50%\n"
                + "start = " + start + "\nfinish = " + start.plusSeconds(MOVE_SECONDS) + "\n";
        CommandResult published = SmallFleet.publish(fleet, SmallFleet.files(move));
        checks.equal("publish of the move", 0, published.exit());
        out.print(published.output());
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOVE_SECONDS + 5);
        int asked = 0;
        String state = "";
        long nextLook = System.nanoTime();
        while (!"done".equals(state) && System.nanoTime() < end) {
            ask(fleet, SmallFleet.DEALER, dealer, ROUTERS[asked % 2], "during move " + asked, asked % 3 == 0, false);
            asked++;
            if (System.nanoTime() > nextLook) {
                state = moveState(fleet);
                nextLook = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
            }
        }
        checks.equal("state of the move", "done", state);
        Response before = dealer.get(fleet.endpointUrl("m3") + "/standin/record");
        ask(fleet, SmallFleet.DEALER, dealer, "r1", "after the move", false, true);
        Response after = dealer.get(fleet.endpointUrl("m3") + "/standin/record");
        checks.equal(
                "the new version answers",
                true,
                after.body().length() > before.body().length());
        out.println("moved to v2 during " + asked + " questions");
    }

    private static String moveState(Fleet fleet) throws FleetException {
        JsonNode moves = json(fleet.command("moves", "--json"));
        return moves.path("moves").path(0).path("state").asText();
    }

    private void statement(Fleet fleet, String account) throws FleetException {
        JsonNode statement = json(fleet.command("statement", account, "--json"));
        for (JsonNode budget : statement.path("budgets")) {
            String name = account + "/" + budget.path("service").asText();
            checks.equal(
                    "settled of " + name,
                    billed.getOrDefault(name, 0L),
                    budget.path("settled").asLong());
            checks.equal(
                    "bills of " + name,
                    bills.getOrDefault(name, 0L),
                    budget.path("bills").asLong());
            out.println(
                    "statement " + name + ": prepaid=" + budget.path("prepaid").asLong() + " settled="
                            + budget.path("settled").asLong() + " held="
                            + budget.path("held").asLong() + " bills="
                            + budget.path("bills").asLong());
        }
    }

    private void bill(String budget, long tokens) {
        billed.merge(budget, tokens, Long::sum);
        bills.merge(budget, 1L, Long::sum);
    }

    private static int ordersIn(String record) throws FleetException {
        try {
            int runs = 0;
            for (JsonNode count : JSON.readTree(record)) {
                runs += count.asInt();
            }
            return runs;
        } catch (JsonProcessingException e) {
            throw new FleetException("record is not JSON: " + record, e);
        }
    }

    private static JsonNode json(CommandResult result) throws FleetException {
        try {
            return JSON.readTree(result.output());
        } catch (JsonProcessingException e) {
            throw new FleetException("exit " + result.exit() + " with no JSON: " + result.output(), e);
        }
    }

    private static long seconds(long began) {
        return TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - began);
    }
}
