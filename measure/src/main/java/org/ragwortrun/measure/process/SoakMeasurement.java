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
 * Runs load while faults are injected, and checks the results as callers, endpoints and operators see them.
 *
 * <p>Option {@code seconds} sets the length of the run, which is counted in requests.
 */
public final class SoakMeasurement implements Measurement {
    private static final int WORKERS = 4;
    private static final int REQUESTS_PER_SECOND = 20;
    private static final int DEFAULT_SECONDS = 20;
    private static final int TOKEN_MILLIS = 2;
    private static final long POLL_MS = 20;
    // 20 % of the 400 requests of a default run are 80 orders at a price of 10, which fit their budget of 1,000 tokens.
    private static final int ORDERS_PERCENT = 20;
    private static final ObjectMapper JSON = new ObjectMapper();

    @Override
    public void run(long seed, Map<String, String> options, FigureReport report) throws MeasurementException {
        int seconds = Integer.parseInt(options.getOrDefault("seconds", Integer.toString(DEFAULT_SECONDS)));
        try (Fleet fleet = SmallFleet.create(TOKEN_MILLIS)) {
            SmallFleet.start(fleet);
            Observations observed = new Observations();
            StatementMonitor monitor = new StatementMonitor(fleet);
            FaultSchedule faults = new FaultSchedule(fleet, (long) seconds * REQUESTS_PER_SECOND);
            runLoad(fleet, seed, seconds * REQUESTS_PER_SECOND, observed, monitor, faults, report);
            awaitBills(fleet, observed, monitor);
            reportFigures(fleet, observed, monitor, faults, report);
        } catch (FleetException e) {
            throw new MeasurementException(String.valueOf(e.getMessage()), e);
        }
    }

    private static void runLoad(
            Fleet fleet,
            long seed,
            int requests,
            Observations observed,
            StatementMonitor monitor,
            FaultSchedule faults,
            FigureReport report)
            throws FleetException {
        // A separate thread reads statements, so that slow readings do not delay the faults.
        ExecutorService workers = Executors.newFixedThreadPool(WORKERS + 1);
        try {
            var running = IntStream.range(0, WORKERS)
                    .mapToObj(w -> workers.submit(() -> {
                        runWorker(fleet, seed, w, requests / WORKERS, observed);
                        return null;
                    }))
                    .toList();
            Future<?> watching = workers.submit(() -> {
                while (!running.stream().allMatch(Future::isDone)) {
                    monitor.read();
                }
                return null;
            });
            while (!running.stream().allMatch(Future::isDone)) {
                String fault = faults.applyNextIfDue(observed.ended.get());
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
            throw new FleetException("worker failed: " + e.getMessage(), e);
        } finally {
            workers.shutdownNow();
        }
    }

    private static void runWorker(Fleet fleet, long seed, int worker, int requests, Observations observed)
            throws FleetException {
        UniformRandomProvider rng = RandomSource.SPLIT_MIX_64.create(seed * 1_000_003 + worker);
        RetryingCaller caller = new RetryingCaller(fleet);
        for (int i = 0; i < requests; i++) {
            String id = Instant.now().getEpochSecond() + "-soak-" + worker + "-" + i;
            int router = rng.nextInt(2);
            if (rng.nextInt(100) < ORDERS_PERCENT) {
                observed.record(observed.orders, id, caller.order(id, router));
            } else {
                String prompt = "question " + seed + " " + worker + " " + i;
                observed.record(observed.questions, id, caller.chat(id, prompt, rng.nextBoolean(), router));
            }
            observed.ended.incrementAndGet();
        }
    }

    /** Waits for the last bills, since usage reports may arrive after the last answer. */
    private static void awaitBills(Fleet fleet, Observations observed, StatementMonitor monitor) throws FleetException {
        fleet.await("the last bills", () -> {
            monitor.read();
            return monitor.budget("assistant").bills() >= observed.count(observed.questions, RequestOutcome.ANSWERED)
                    && monitor.budget("orders").bills() >= observed.count(observed.orders, RequestOutcome.ANSWERED);
        });
    }

    private static void reportFigures(
            Fleet fleet, Observations observed, StatementMonitor monitor, FaultSchedule faults, FigureReport report)
            throws FleetException {
        Map<String, Integer> runs = runs(fleet);
        Bound zero = Bound.atMost(0);
        report.covered("questions", observed.questions.size());
        report.covered("orders", observed.orders.size());
        report.covered("faults", faults.applied());
        report.covered("statements", monitor.readings());
        observed.refusals.forEach(report::note);
        for (RequestOutcome o : RequestOutcome.values()) {
            report.note("outcome " + o + " questions=" + observed.count(observed.questions, o) + " orders="
                    + observed.count(observed.orders, o));
        }
        report.figure("wrong_answers", observed.wrongAnswers(), "1", zero);
        report.figure(
                "orders_run_twice", runs.values().stream().filter(n -> n > 1).count(), "1", zero);
        report.figure("false_not_run", observed.falseNotRun(runs), "1", zero);
        report.figure("answered_without_run", observed.answeredWithoutRun(runs), "1", zero);
        report.figure("overspend", monitor.maxOverspend(), "tokens", zero);
        report.figure("bill_mismatch_orders", billMismatch(observed, observed.orders, monitor, "orders"), "1", zero);
        report.figure(
                "bill_mismatch_questions", billMismatch(observed, observed.questions, monitor, "assistant"), "1", zero);
        long unresolved = observed.count(observed.questions, RequestOutcome.UNKNOWN)
                + observed.count(observed.orders, RequestOutcome.UNKNOWN);
        report.figure("unresolved", unresolved, "1", Bound.none());
    }

    /** Returns the number of missing and surplus bills. A failed or unresolved request may have one bill or none. */
    private static long billMismatch(
            Observations observed, Map<String, RequestOutcome> requests, StatementMonitor monitor, String service)
            throws FleetException {
        long bills = monitor.budget(service).bills();
        long minBills =
                observed.count(requests, RequestOutcome.ANSWERED) + observed.count(requests, RequestOutcome.RAN);
        long maxBills = minBills
                + observed.count(requests, RequestOutcome.FAILED)
                + observed.count(requests, RequestOutcome.UNKNOWN);
        return Math.max(0, minBills - bills) + Math.max(0, bills - maxBills);
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

    /** Outcomes that callers observed. */
    private static final class Observations {
        private final Map<String, RequestOutcome> questions = new ConcurrentHashMap<>();
        private final Map<String, RequestOutcome> orders = new ConcurrentHashMap<>();
        private final AtomicLong ended = new AtomicLong();
        private final Queue<String> refusals = new ConcurrentLinkedQueue<>();

        void record(Map<String, RequestOutcome> requests, String id, RequestResult result) {
            requests.put(id, result.outcome());
            if (result.outcome() != RequestOutcome.ANSWERED) {
                refusals.add(id + " ended as " + result.outcome() + " after " + result.refusal());
            }
        }

        long count(Map<String, RequestOutcome> requests, RequestOutcome outcome) {
            return requests.values().stream().filter(o -> o == outcome).count();
        }

        long wrongAnswers() {
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
