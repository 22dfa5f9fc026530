package org.ragwortrun.agent;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.net.FrameClient;
import org.ragwortrun.proto.Finished;
import org.ragwortrun.proto.Refused;
import org.ragwortrun.proto.RequestState;
import org.ragwortrun.proto.RunState;
import org.ragwortrun.proto.Usage;
import org.ragwortrun.standins.Behaviour;
import org.ragwortrun.standins.EngineOptions;
import org.ragwortrun.standins.ExpectedAnswer;
import org.ragwortrun.standins.StandinEngine;

final class ModelEndpointTest {
    private StandinEngine engine;
    private AgentFixture fixture;
    private FrameClient router;

    @BeforeEach
    void start() throws Exception {
        engine = StandinEngine.start(EngineOptions.defaults().withTokenMs(1));
        fixture = new AgentFixture(
                "model",
                engine.url(),
                Map.of("slots", "2"),
                Map.of("agent.queue-length", "2", "agent.queue-wait", "400ms", "agent.answer-limit", "1048576"));
        router = fixture.connect();
    }

    @AfterEach
    void stop() {
        fixture.close();
        engine.close();
    }

    /** Guards against an answer that is incomplete, or billed with a token count other than the engine's. */
    @Test
    void streamsAndBillsCompleteAnswer() throws Exception {
        AnswerReader answer = fixture.send(router, fixture.chat("r1", "hello there [len=40]"));
        Finished finished = answer.finished();
        assertThat(answer.text())
                .isEqualTo(ExpectedAnswer.to("hello there [len=40]").text());
        assertThat(answer.status()).isEqualTo(200);
        assertThat(finished.getFailure()).isEmpty();
        assertThat(finished.getTruncated()).isFalse();
        AgentFixture.await(() -> fixture.control().bills().containsKey("r1"));
        Usage bill = fixture.control().bills().get("r1");
        assertThat(bill.getOutputTokens()).isEqualTo(40);
        assertThat(bill.getTokens()).isEqualTo(40 + ExpectedAnswer.promptTokens("hello there [len=40]"));
        assertThat(bill).isEqualTo(finished.getUsage());
    }

    /** Guards against output and bills that exceed the reservation. */
    @Test
    void truncatesOutputAtReservation() throws Exception {
        long prompt = ExpectedAnswer.promptTokens("long [len=500]");
        AnswerReader answer =
                fixture.send(router, fixture.chat("r1", "long [len=500]").setReserved(prompt + 10));
        Finished finished = answer.finished();
        assertThat(finished.getTruncated()).isTrue();
        assertThat(finished.getUsage().getTokens()).isEqualTo(prompt + 10);
        assertThat(answer.text()).isEqualTo(ExpectedAnswer.to("long [len=500]").text(10));
        AgentFixture.await(() -> "cancelled".equals(engine.runs().get(0).outcome())
                || "lost".equals(engine.runs().get(0).outcome()));
    }

    /** Guards against a retry that gets only the remainder of its answer after its first router failed. */
    @Test
    void keepsAnswerForAttachingRouter() throws Exception {
        FrameClient firstRouter = fixture.connect();
        AnswerReader first = fixture.send(firstRouter, fixture.chat("r1", "attach [len=100]"));
        AgentFixture.await(() -> first.length() > 50);
        firstRouter.close();
        AnswerReader second = fixture.attach(router, "r1", 0);
        assertThat(second.finished().getFailure()).isEmpty();
        assertThat(second.text())
                .isEqualTo(ExpectedAnswer.to("attach [len=100]").text());
        AnswerReader third = fixture.attach(router, "r1", 50);
        third.finished();
        assertThat(third.text())
                .isEqualTo(ExpectedAnswer.to("attach [len=100]").text().substring(50));
        assertThat(engine.runs()).hasSize(1);
    }

    /** Guards against the same attempt running twice. */
    @Test
    void attachesDuplicateDispatch() throws Exception {
        fixture.send(router, fixture.chat("r1", "twice [len=30]")).finished();
        AnswerReader again = fixture.send(router, fixture.chat("r1", "twice [len=30]"));
        again.finished();
        assertThat(again.text()).isEqualTo(ExpectedAnswer.to("twice [len=30]").text());
        assertThat(engine.runs()).hasSize(1);
        Refused reused = fixture.send(router, fixture.chat("r1", "other")).refused();
        assertThat(reused.getReason()).isEqualTo("id-reused");
    }

    /** Guards against an engine that keeps generating after the caller left, and against output that is not billed. */
    @Test
    void cancelsEngineAndBillsProducedOutput() throws Exception {
        AnswerReader answer = fixture.send(router, fixture.chat("r1", "cancel [len=5000]"));
        AgentFixture.await(() -> answer.length() > 50);
        answer.cancel("caller-left");
        Usage usage = answer.finished().getUsage();
        assertThat(usage.getOutputTokens()).isGreaterThan(5);
        assertThat(usage.getOutputTokens()).isLessThan(5000);
        AgentFixture.await(() -> fixture.control().bills().containsKey("r1"));
        AgentFixture.await(() -> !"running".equals(engine.runs().get(0).outcome()));
    }

    /** Guards against a bill of the first attempt that suppresses the bill of the attempt that resumes it. */
    @Test
    void billsResumedRequestOnce() throws Exception {
        AnswerReader first = fixture.send(router, fixture.chat("r1", "resume [len=300]"));
        AgentFixture.await(() -> first.length() > 50);
        first.cancel("resume");
        Finished interrupted = first.finished();
        String sent = first.text();
        AnswerReader second = fixture.send(
                router,
                fixture.chat("r1", "resume [len=300]")
                        .setAttempt(2)
                        .setResumeText(sent)
                        .setResumeTokens(interrupted.getUsage().getOutputTokens()));
        Finished finished = second.finished();
        assertThat(sent + second.text())
                .isEqualTo(ExpectedAnswer.to("resume [len=300]").text());
        assertThat(finished.getUsage().getOutputTokens()).isEqualTo(300);
        AgentFixture.await(() -> fixture.control().bills().containsKey("r1"));
        assertThat(fixture.control().bills().get("r1").getTokens())
                .isEqualTo(300 + ExpectedAnswer.promptTokens("resume [len=300]"));
    }

    /** Guards against memory use that grows with the length of an answer that the router does not read. */
    @Test
    void stopsReadingFromEngineForSlowReader() throws Exception {
        engine.setBehaviour(Behaviour.slow(0, 0));
        AnswerReader slow =
                fixture.sendSlow(router, fixture.chat("r1", "slow [len=49000]").setCredit(1000));
        AgentFixture.await(() -> slow.length() > 900);
        TimeUnit.MILLISECONDS.sleep(500);
        assertThat(slow.length()).isAtMost(1000);
        int produced = engine.runs().get(0).outputTokens();
        assertThat(produced).isLessThan(49_000);
        slow.credit(10 << 20);
        slow.finished();
        assertThat(slow.text()).isEqualTo(ExpectedAnswer.to("slow [len=49000]").text());
    }

    /** Guards against a long prefill, or a pause between tokens, that is treated as a failure of the engine. */
    @Test
    void waitsForSilentEngineBeyondConnectTimeout() throws Exception {
        engine.setBehaviour(Behaviour.slow(1_600, 1));
        AnswerReader answer = fixture.send(router, fixture.chat("r1", "prefill [len=5]"));
        assertThat(answer.finished().getFailure()).isEmpty();
        assertThat(answer.text()).isEqualTo(ExpectedAnswer.to("prefill [len=5]").text());
    }

    /** Guards against requests that wait longer than allowed, or are refused late. */
    @Test
    void queuesByPriorityAndRefusesEarly() throws Exception {
        for (int i = 0; i < 2; i++) {
            fixture.send(router, fixture.chat("run-" + i, "busy [len=2000]")).accepted();
        }
        AnswerReader report =
                fixture.send(router, fixture.chat("report", "late [len=10]").setPriority(9));
        AnswerReader other =
                fixture.send(router, fixture.chat("other", "late [len=10]").setPriority(9));
        assertThat(report.accepted().getQueued()).isEqualTo(1);
        AnswerReader guidance =
                fixture.send(router, fixture.chat("guidance", "now [len=10]").setPriority(1));
        assertThat(guidance.accepted().getQueued()).isEqualTo(1);
        Refused displaced = other.refused();
        assertThat(displaced.getReason()).isEqualTo("endpoint-full");
        assertThat(displaced.getRun()).isEqualTo(RunState.RUN_NOT_RUN);
        assertThat(displaced.getRetryAfterMs()).isGreaterThan(0);
        assertThat(report.refused().getReason()).isEqualTo("endpoint-full");
        assertThat(engine.runs()).hasSize(2);
    }

    /** Guards against a crash that is not counted against any request, and a bill for an attempt that will be retried. */
    @Test
    void reportsCrashWithNeighbours() throws Exception {
        AnswerReader bystander = fixture.send(router, fixture.chat("bystander", "by [len=3000]"));
        AgentFixture.await(() -> bystander.length() > 20);
        AnswerReader culprit = fixture.send(router, fixture.chat("culprit", "bad [crash=5] [len=50]"));
        Finished failed = culprit.finished();
        assertThat(failed.getFailure()).isEqualTo("endpoint-failed");
        assertThat(failed.getRun()).isEqualTo(RunState.RUN_RAN);
        assertThat(bystander.finished().getFailure()).isEqualTo("endpoint-failed");
        AgentFixture.await(() -> fixture.control().crashes().size() == 2);
        assertThat(fixture.control().crashes().get(0).getNeighboursCount()).isEqualTo(1);
        AgentFixture.await(() -> !fixture.load().getHealthy());
        assertThat(fixture.control().bills()).isEmpty();
        Refused down = fixture.send(router, fixture.chat("next", "next")).refused();
        assertThat(down.getReason()).isEqualTo("endpoint-failed");
        assertThat(down.getRun()).isEqualTo(RunState.RUN_NOT_RUN);
        engine.restart();
        AgentFixture.await(() -> fixture.load().getHealthy());
        fixture.send(router, fixture.chat("after", "after [len=5]")).finished();
    }

    /** Guards against parts of prompts that are suspected of a crash although their answers had begun. */
    @Test
    void reportsPartsOfPromptsWhoseAnswersHaveNotBegun() throws Exception {
        AnswerReader bystander = fixture.send(
                router, fixture.chat("bystander", "by [len=3000]").addPromptParts(ByteString.copyFromUtf8("begun")));
        AgentFixture.await(() -> bystander.length() > 20);
        AnswerReader culprit = fixture.send(
                router, fixture.chat("culprit", "bad [crash] [len=50]").addPromptParts(ByteString.copyFromUtf8("bad")));
        culprit.finished();
        AgentFixture.await(() -> fixture.control().crashes().size() == 2);
        assertThat(fixture.control().crashes().stream()
                        .flatMap(c -> c.getPromptPartsList().stream())
                        .map(ByteString::toStringUtf8))
                .containsExactly("bad");
    }

    /** Guards against an agent that loses the outcome of a request but still has the record that it ran. */
    @Test
    void reportsRequestStates() throws Exception {
        fixture.send(router, fixture.chat("done", "done [len=5]")).finished();
        assertThat(fixture.query(router, "done", 1, false).getState()).isEqualTo(RequestState.State.FINISHED);
        assertThat(fixture.query(router, "done", 2, false).getState()).isEqualTo(RequestState.State.NEVER_SEEN);
        assertThat(fixture.query(router, "new", 1, false).getTombstone()).isFalse();
    }
}
