package org.ragwortrun.router;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.BudgetStatement;
import org.ragwortrun.proto.Dispatch;
import org.ragwortrun.proto.LoadReport;
import org.ragwortrun.proto.Refused;
import org.ragwortrun.proto.RunState;
import org.ragwortrun.proto.ShardCommand;

final class FailureTest {
    private RouterHarness harness;

    @BeforeEach
    void start() throws Exception {
        harness = new RouterHarness(Map.of());
    }

    @AfterEach
    void stop() {
        harness.close();
    }

    /** Guards against a second run when a caller retries a running request. */
    @Test
    void retryAttachesToTheRunningRequest() throws Exception {
        hold(10);
        String key = RouterHarness.key("a");
        CompletableFuture<HttpResponse<String>> first =
                harness.sendAsync(harness.chat(true, "x").header("Idempotency-Key", key));
        RouterHarness.await(() -> Math.max(harness.first.maxSent, harness.second.maxSent) == 10);
        CompletableFuture<HttpResponse<String>> retry =
                harness.sendAsync(harness.chat(true, "x").header("Idempotency-Key", key));
        FakeAgent.sleep(100);
        release();
        assertThat(RouterHarness.streamedText(first.get().body())).isEqualTo(harness.first.text);
        assertThat(RouterHarness.streamedText(retry.get().body())).isEqualTo(harness.first.text);
        assertThat(harness.first.dispatches.size() + harness.second.dispatches.size())
                .isEqualTo(1);
        HttpResponse<String> repeated = harness.send(harness.chat(true, "x").header("Idempotency-Key", key));
        assertThat(RouterHarness.streamedText(repeated.body())).isEqualTo(harness.first.text);
        RouterHarness.await(() -> assayBudget().getBills() == 1);
    }

    /** Guards against requests that each ask an agent first whose endpoint accepts none for a time that it has named. */
    @Test
    void sendsNothingToLimitedEndpointUntilItsNextPermit() throws Exception {
        harness.first.refusal = (agent, d) -> Refused.newBuilder()
                .setReason("endpoint-limited")
                .setRun(RunState.RUN_NOT_RUN)
                .setRetryAfterMs(20_000)
                .build();
        for (int i = 0; i < 20; i++) {
            assertThat(harness.send(harness.chat(true, "x" + i)).statusCode()).isEqualTo(200);
        }
        assertThat(harness.first.dispatches.size()).isAtMost(1);
    }

    /** Guards against answering a request whose id was already used for other content. */
    @Test
    void idWithOtherContentIsRefused() throws Exception {
        String key = RouterHarness.key("b");
        assertThat(harness.send(harness.order(key, "one")).statusCode()).isEqualTo(200);
        HttpResponse<String> r = harness.send(harness.order(key, "two"));
        assertThat(r.statusCode()).isEqualTo(422);
        assertThat(r.body()).contains("\"reason\":\"id-reused\"");
        assertThat(harness.orders.dispatches).hasSize(1);
    }

    /** Guards against gaps, duplicates and second bills when an agent is lost during a stream. */
    @Test
    void resumesStreamAtAnotherEndpointWhenAgentIsLost() throws Exception {
        hold(15);
        CompletableFuture<HttpResponse<String>> call = harness.sendAsync(harness.chat(true, "x"));
        RouterHarness.await(() -> Math.max(harness.first.maxSent, harness.second.maxSent) == 15);
        FakeAgent lost = harness.first.maxSent == 15 ? harness.first : harness.second;
        FakeAgent other = harness.first.maxSent == 15 ? harness.second : harness.first;
        other.holdAt = Long.MAX_VALUE;
        lost.close();
        HttpResponse<String> r = call.get();
        assertThat(RouterHarness.streamedText(r.body())).isEqualTo(other.text);
        Dispatch resumed = other.dispatches.get(0);
        assertThat(resumed.getResumeText()).isEqualTo(other.text.substring(0, 15));
        assertThat(resumed.getResumeTokens()).isEqualTo(3);
        RouterHarness.await(() -> assayBudget().getBills() == 1);
    }

    /** Guards against an unnecessary second run when only a connection is lost. */
    @Test
    void resumesStreamAtSameAgentAfterConnectionLoss() throws Exception {
        hold(15);
        CompletableFuture<HttpResponse<String>> call = harness.sendAsync(harness.chat(false, "x"));
        RouterHarness.await(() -> Math.max(harness.first.maxSent, harness.second.maxSent) == 15);
        harness.first.disconnect();
        harness.second.disconnect();
        release();
        assertThat(call.get().body()).contains("\"content\":\"" + harness.first.text + "\"");
        assertThat(harness.first.dispatches.size() + harness.second.dispatches.size())
                .isEqualTo(1);
    }

    /** Guards against a truncated stream that looks complete. */
    @Test
    void abortsStreamThatCannotBeResumed() throws Exception {
        hold(15);
        CompletableFuture<HttpResponse<String>> call = harness.sendAsync(harness.chat(true, "x"));
        RouterHarness.await(() -> Math.max(harness.first.maxSent, harness.second.maxSent) == 15);
        harness.first.close();
        harness.second.close();
        AtomicInteger completed = new AtomicInteger();
        call.handle((r, e) -> e == null ? completed.incrementAndGet() : 0).get();
        assertThat(completed.get()).isEqualTo(0);
    }

    /** Guards against a second run of an order whose agent was lost, and against differing answers to its retries. */
    @Test
    void reportsUnknownOutcomeOnEachRetryAfterAgentLoss() throws Exception {
        harness.orders.dropsDispatch = d -> true;
        String key = RouterHarness.key("c");
        CompletableFuture<HttpResponse<String>> call = harness.sendAsync(harness.order(key, "kiln 2"));
        RouterHarness.await(() -> harness.orders.dispatches.size() == 1);
        int port = harness.orders.port();
        harness.orders.close();
        harness.orders = new FakeAgent("o1", 2, port);
        for (int i = 0; i < 3; i++) {
            HttpResponse<String> r = i == 0 ? call.get() : harness.send(harness.order(key, "kiln 2"));
            assertThat(r.body()).contains("\"reason\":\"outcome-unknown\"");
            assertThat(r.body()).contains("\"run\":\"unknown\"");
            assertThat(r.statusCode()).isEqualTo(502);
        }
        assertThat(harness.orders.dispatches).isEmpty();
    }

    /** Guards against refusing an order although the agent proves that it never arrived. */
    @Test
    void retriesOrderThatNeverReachedAgent() throws Exception {
        harness.orders.dropsDispatch = d -> d.getAttempt() == 1;
        CompletableFuture<HttpResponse<String>> call =
                harness.sendAsync(harness.order(RouterHarness.key("d"), "kiln 3"));
        RouterHarness.await(() -> harness.orders.dispatches.size() == 1);
        harness.orders.disconnect();
        assertThat(call.get().statusCode()).isEqualTo(200);
        assertThat(harness.orders.dispatches.stream().map(Dispatch::getAttempt)).containsExactly(1, 2);
    }

    /** Guards against a lost answer when the agent that ran an order is gone. */
    @Test
    void answersRetriedOrderFromRegister() throws Exception {
        String key = RouterHarness.key("h");
        HttpResponse<String> first = harness.send(harness.order(key, "kiln 4"));
        RouterHarness.await(() -> harness.control.commands.stream().anyMatch(ShardCommand::hasSettle));
        int port = harness.orders.port();
        harness.orders.close();
        harness.orders = new FakeAgent("o1", 2, port);
        HttpResponse<String> again = harness.send(harness.order(key, "kiln 4"));
        assertThat(again.statusCode()).isEqualTo(200);
        assertThat(again.body()).isEqualTo(first.body());
        assertThat(harness.orders.dispatches).isEmpty();
    }

    /** Guards against errors of one endpoint that reach callers although another endpoint works. */
    @Test
    void retriesErrorOfOneEndpointAtAnother() throws Exception {
        harness.first.failing = true;
        for (int i = 0; i < 12; i++) {
            HttpResponse<String> r = harness.send(harness.chat(i % 2 == 0, "x"));
            assertThat(r.statusCode()).isEqualTo(200);
            String text = i % 2 == 0 ? RouterHarness.streamedText(r.body()) : r.body();
            assertThat(text).contains(harness.second.text);
            assertThat(text).doesNotContain("boom");
        }
        assertThat(harness.first.dispatches).isNotEmpty();
        RouterHarness.await(() -> harness.control.evidence.stream().anyMatch(e -> e.getFailures() > 0));
    }

    /** Guards against tokens that stay reserved after the bill of a resumed request is known. */
    @Test
    void endsReservationOfResumedRequest() throws Exception {
        hold(15);
        CompletableFuture<HttpResponse<String>> call = harness.sendAsync(harness.chat(true, "x"));
        RouterHarness.await(() -> Math.max(harness.first.maxSent, harness.second.maxSent) == 15);
        (harness.first.maxSent == 15 ? harness.first : harness.second).close();
        release();
        assertThat(call.get().statusCode()).isEqualTo(200);
        FakeAgent.sleep(2_500);
        harness.router.close();
        assertThat(assayBudget().getHeld()).isEqualTo(0);
        assertThat(assayBudget().getSettled()).isEqualTo(10);
    }

    /** Guards against orders that run without the register, and against model requests that fail without it. */
    @Test
    void runsOnlyRepeatableRequestsWithoutShards() throws Exception {
        assertThat(harness.send(harness.chat(true, "x")).statusCode()).isEqualTo(200);
        assertThat(harness.send(harness.order(RouterHarness.key("e"), "x")).statusCode())
                .isEqualTo(200);
        // The pool estimates demand from the first requests, and a refill is pending.
        FakeAgent.sleep(200);
        harness.control.ignoresShardRequests = true;
        HttpResponse<String> chat = harness.send(harness.chat(true, "x").header("Idempotency-Key", "f"));
        assertThat(chat.statusCode()).isAnyOf(200, 503);
        HttpResponse<String> order = harness.send(harness.order(RouterHarness.key("g"), "x"));
        assertThat(order.statusCode()).isEqualTo(503);
        assertThat(order.body()).contains("\"run\":\"not run\"");
        assertThat(order.headers().firstValue("Retry-After").isPresent()).isTrue();
        harness.control.ignoresShardRequests = false;
    }

    /** Guards against a router that serves requests with an outdated configuration. */
    @Test
    void refusesWithoutALease() throws Exception {
        harness.control.leased = false;
        RouterHarness.await(() -> !harness.isReady());
        HttpResponse<String> r = harness.send(harness.chat(true, "x"));
        assertThat(r.statusCode()).isEqualTo(503);
        assertThat(r.body()).contains("\"reason\":\"configuration-lease-expired\"");
    }

    /** Guards against requests that are sent to a leaving endpoint. */
    @Test
    void sendsNothingToLeavingEndpoint() throws Exception {
        harness.first.report(
                LoadReport.newBuilder().setSequence(1).setHealthy(true).setLeaving(true));
        FakeAgent.sleep(100);
        for (int i = 0; i < 10; i++) {
            assertThat(harness.send(harness.chat(true, "x")).statusCode()).isEqualTo(200);
        }
        assertThat(harness.first.dispatches).isEmpty();
        assertThat(harness.second.dispatches).hasSize(10);
    }

    private BudgetStatement assayBudget() {
        return harness.control.statement(RouterHarness.ACCOUNT).getBudgetsList().stream()
                .filter(b -> b.getBudget().getService().equals("assay"))
                .findFirst()
                .orElseThrow();
    }

    private void hold(long at) {
        harness.first.holdAt = at;
        harness.second.holdAt = at;
    }

    private void release() {
        harness.first.release();
        harness.second.release();
    }
}
