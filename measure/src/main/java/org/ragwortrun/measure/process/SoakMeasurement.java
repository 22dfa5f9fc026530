package org.ragwortrun.measure.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Instant;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.ragwortrun.measure.Bound;
import org.ragwortrun.measure.FigureReport;
import org.ragwortrun.measure.Measurement;
import org.ragwortrun.measure.MeasurementException;
import org.ragwortrun.measure.fleet.Caller;
import org.ragwortrun.measure.fleet.Fleet;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.measure.fleet.SmallFleet;

/**
 * Watches a run under faults from outside, as callers, endpoints and operators see it.
 *
 * <p>Option {@code seconds} sets the length of the run through the number of requests.
 */
public final class SoakMeasurement implements Measurement {
    private static final int WORKERS = 4;
    private static final int REQUESTS_PER_SECOND = 20;
    private static final int DEFAULT_SECONDS = 20;
    private static final int TOKEN_MILLIS = 2;
    private static final long POLL_MS = 20;
    // Three orders in ten fit the budget of 1,000 tokens for orders at a price of 10 in the default run.
    private static final int ORDERS_PERCENT = 20;
    private static final ObjectMapper JSON = new ObjectMapper();

    @Override
    public void run(long seed, Map<String, String> options, FigureReport report) throws MeasurementException {
        int seconds = Integer.parseInt(options.getOrDefault("seconds", Integer.toString(DEFAULT_SECONDS)));
        try (Fleet fleet = SmallFleet.create(TOKEN_MILLIS)) {
            SmallFleet.start(fleet);
            Observed observed = new Observed();
            BudgetWatch watch = new BudgetWatch(fleet);
            FaultSchedule faults = new FaultSchedule(fleet, (long) seconds * REQUESTS_PER_SECOND);
            drive(fleet, seed, seconds * REQUESTS_PER_SECOND, observed, watch, faults, report);
            awaitBills(fleet, observed, watch);
            figures(fleet, observed, watch, faults, report);
        } catch (FleetException e) {
            throw new MeasurementException(String.valueOf(e.getMessage()), e);
        }
    }

    private static void drive(
            Fleet fleet,
            long seed,
            int requests,
            Observed observed,
            BudgetWatch watch,
            FaultSchedule faults,
            FigureReport report)
            throws FleetException {
        // One more thread reads statements, so that slow readings do not hold back the faults.
        ExecutorService workers = Executors.newFixedThreadPool(WORKERS + 1);
        try {
            var running = IntStream.range(0, WORKERS)
                    .mapToObj(w -> workers.submit(() -> {
                        work(fleet, seed, w, requests / WORKERS, observed);
                        return null;
                    }))
                    .toList();
            Future<?> watching = workers.submit(() -> {
                while (!running.stream().allMatch(Future::isDone)) {
                    watch.read();
                }
                return null;
            });
            while (!running.stream().allMatch(Future::isDone)) {
                String fault = faults.advance(observed.ended.get());
                if (!fault.isEmpty()) {
                    report.note("fault after " + observed.ended.get() + " requests: " + fault);
                }
                TimeUnit.MILLISECONDS.sleep(POLL_MS);
            }
            for (Future<?> f : running) {
                f.get();
            }
            watching.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("interrupted", e);
        } catch (ExecutionException e) {
            throw new FleetException("a caller failed: " + e.getMessage(), e);
        } finally {
            workers.shutdownNow();
        }
    }

    private static void work(Fleet fleet, long seed, int worker, int requests, Observed observed)
            throws FleetException {
        UniformRandomProvider rng = RandomSource.SPLIT_MIX_64.create(seed * 1_000_003 + worker);
        WatchedCaller caller = new WatchedCaller(fleet);
        for (int i = 0; i < requests; i++) {
            String id = Instant.now().getEpochSecond() + "-soak-" + worker + "-" + i;
            int router = rng.nextInt(2);
            if (rng.nextInt(100) < ORDERS_PERCENT) {
                observed.end(observed.orders, id, caller.order(id, router));
            } else {
                String prompt = "question " + seed + " " + worker + " " + i;
                observed.end(observed.questions, id, caller.ask(id, prompt, rng.nextBoolean(), router));
            }
            observed.ended.incrementAndGet();
        }
    }

    /** Usage reports may still be on their way when the last answer has arrived. */
    private static void awaitBills(Fleet fleet, Observed observed, BudgetWatch watch) throws FleetException {
        fleet.await("the last bills", () -> {
            watch.read();
            return watch.budget("assistant").bills() >= observed.count(observed.questions, RequestOutcome.ANSWERED)
                    && watch.budget("orders").bills() >= observed.count(observed.orders, RequestOutcome.ANSWERED);
        });
    }

    private static void figures(
            Fleet fleet, Observed observed, BudgetWatch watch, FaultSchedule faults, FigureReport report)
            throws FleetException {
        Map<String, Integer> runs = runs(fleet);
        Bound none = Bound.atMost(0);
        report.covered("questions", observed.questions.size());
        report.covered("orders", observed.orders.size());
        report.covered("faults", faults.applied());
        report.covered("statements", watch.readings());
        observed.refusals.forEach(report::note);
        for (RequestOutcome o : RequestOutcome.values()) {
            report.note("outcome " + o + " questions=" + observed.count(observed.questions, o) + " orders="
                    + observed.count(observed.orders, o));
        }
        report.figure("wrong_answers", observed.wrong(), "1", none);
        report.figure(
                "orders_run_twice", runs.values().stream().filter(n -> n > 1).count(), "1", none);
        report.figure("false_not_run", observed.falseNotRun(runs), "1", none);
        report.figure("answered_without_run", observed.answeredWithoutRun(runs), "1", none);
        report.figure("overspend", watch.overspend(), "tokens", none);
        report.figure("bill_mismatch_orders", mismatch(observed, observed.orders, watch, "orders"), "1", none);
        report.figure("bill_mismatch_questions", mismatch(observed, observed.questions, watch, "assistant"), "1", none);
        long unresolved = observed.count(observed.questions, RequestOutcome.UNKNOWN)
                + observed.count(observed.orders, RequestOutcome.UNKNOWN);
        report.figure("unresolved", unresolved, "1", Bound.none());
    }

    /** Bills beyond one for each request that ran, or missing; one that failed or is unresolved may have a bill or not. */
    private static long mismatch(
            Observed observed, Map<String, RequestOutcome> requests, BudgetWatch watch, String service)
            throws FleetException {
        long bills = watch.budget(service).bills();
        long least = observed.count(requests, RequestOutcome.ANSWERED) + observed.count(requests, RequestOutcome.RAN);
        long most = least
                + observed.count(requests, RequestOutcome.FAILED)
                + observed.count(requests, RequestOutcome.UNKNOWN);
        return Math.max(0, least - bills) + Math.max(0, bills - most);
    }

    private static Map<String, Integer> runs(Fleet fleet) throws FleetException {
        String body = new Caller("none")
                .get(fleet.endpointUrl("s1") + "/standin/record")
                .body();
        try {
            return JSON.readValue(body, JSON.getTypeFactory().constructMapType(Map.class, String.class, Integer.class));
        } catch (JsonProcessingException e) {
            throw new FleetException("record is not JSON: " + body, e);
        }
    }

    /** What callers saw. */
    private static final class Observed {
        private final Map<String, RequestOutcome> questions = new ConcurrentHashMap<>();
        private final Map<String, RequestOutcome> orders = new ConcurrentHashMap<>();
        private final AtomicLong ended = new AtomicLong();
        private final Queue<String> refusals = new ConcurrentLinkedQueue<>();

        void end(Map<String, RequestOutcome> requests, String id, EndedRequest request) {
            requests.put(id, request.outcome());
            if (request.outcome() != RequestOutcome.ANSWERED) {
                refusals.add(id + " ended as " + request.outcome() + " after " + request.refusal());
            }
        }

        long count(Map<String, RequestOutcome> requests, RequestOutcome outcome) {
            return requests.values().stream().filter(o -> o == outcome).count();
        }

        long wrong() {
            return count(questions, RequestOutcome.WRONG) + count(orders, RequestOutcome.WRONG);
        }

        long falseNotRun(Map<String, Integer> runs) {
            return orders.entrySet().stream()
                    .filter(e -> e.getValue() == RequestOutcome.NOT_RUN)
                    .filter(e -> runs.getOrDefault(e.getKey(), 0) > 0)
                    .count();
        }

        long answeredWithoutRun(Map<String, Integer> runs) {
            return orders.entrySet().stream()
                    .filter(e -> e.getValue() == RequestOutcome.ANSWERED)
                    .filter(e -> runs.getOrDefault(e.getKey(), 0) != 1)
                    .count();
        }
    }
}
