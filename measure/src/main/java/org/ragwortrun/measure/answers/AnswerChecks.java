package org.ragwortrun.measure.answers;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** Compares what callers saw with what endpoints ran and wrote. */
final class AnswerChecks {
    static final List<String> RULES = List.of(
            "success_of_other_status",
            "answers_of_other_requests",
            "success_without_proof",
            "success_with_other_body",
            "failure_of_other_status",
            "answers_without_a_request",
            "bytes_that_are_no_answer",
            "once_only_ran_twice",
            "not_run_but_ran");

    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private final EndpointRecord endpoints;
    private final CallerRecord callers;

    AnswerChecks(EndpointRecord endpoints, CallerRecord callers) {
        this.endpoints = endpoints;
        this.callers = callers;
    }

    List<Violation> violations() {
        Stream<Violation> twice = callers.sent().entrySet().stream()
                .filter(e -> e.getValue() != Kind.IDEMPOTENT && endpoints.runs(e.getKey()) > 1)
                .map(e -> new Violation("once_only_ran_twice", e.getKey(), "runs=" + endpoints.runs(e.getKey())));
        return Stream.of(
                        callers.violations().stream(),
                        twice,
                        callers.seen().stream().flatMap(this::check))
                .flatMap(s -> s)
                .toList();
    }

    /** Returns the successes into whose body the endpoint wrote bytes that nobody can tell from it. */
    long undetectable() {
        return callers.seen().stream()
                .filter(a -> a.isSuccess() && a.whole() && !a.head() && !isWhole(a) && isReadAs(a))
                .count();
    }

    private Stream<Violation> check(SeenAnswer a) {
        return Stream.of(ofOtherRequest(a), withoutProof(a), ofOtherStatus(a), withOtherBody(a), notRunButRan(a))
                .flatMap(Optional::stream);
    }

    private static Optional<Violation> ofOtherRequest(SeenAnswer a) {
        return violation("answers_of_other_requests", a, !a.answeredId().equals(a.id()));
    }

    private static Optional<Violation> withoutProof(SeenAnswer a) {
        return violation("success_without_proof", a, a.isSuccess() && a.proof().isEmpty());
    }

    private Optional<Violation> ofOtherStatus(SeenAnswer a) {
        String rule = a.isSuccess() ? "success_of_other_status" : "failure_of_other_status";
        return violation(rule, a, !a.proof().isEmpty() && written(a).findAny().isEmpty());
    }

    private Optional<Violation> withOtherBody(SeenAnswer a) {
        boolean withBody = a.isSuccess() && a.whole() && !a.head();
        return violation("success_with_other_body", a, withBody && !isWhole(a) && !isReadAs(a));
    }

    private Optional<Violation> notRunButRan(SeenAnswer a) {
        boolean saysNotRun = a.kind() != Kind.IDEMPOTENT && NOT_RUN.contains(a.status());
        return violation("not_run_but_ran", a, saysNotRun && endpoints.runs(a.id()) > 0);
    }

    private boolean isWhole(SeenAnswer a) {
        return written(a).anyMatch(w -> w.isWhole(a.body()));
    }

    private boolean isReadAs(SeenAnswer a) {
        return written(a).anyMatch(w -> w.isReadAs(a.body()));
    }

    /** Returns the answers that endpoints wrote to the same request with the same proof and status. */
    private Stream<WrittenAnswer> written(SeenAnswer a) {
        return endpoints.answers(a.id(), a.proof()).stream()
                .filter(w -> w.answer().status() == a.status());
    }

    private static Optional<Violation> violation(String rule, SeenAnswer a, boolean seen) {
        return seen ? Optional.of(new Violation(rule, a.id(), a.toString())) : Optional.empty();
    }
}
