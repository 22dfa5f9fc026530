package org.ragwortrun.ledger.internal;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.BudgetRef;
import org.ragwortrun.proto.Claim;
import org.ragwortrun.proto.ClaimResult;
import org.ragwortrun.proto.Usage;

final class RequestRegisterTest {
    private static final long HOUR = 3_600_000;
    private static final BudgetRef BUDGET =
            BudgetRef.newBuilder().setAccount("c").setService("s").build();

    /** Guards against unbounded memory for answers, and against rerunning a request whose answer was evicted. */
    @Test
    void evictsOldestAnswersAboveLimit() {
        RequestRegister register = new RequestRegister(2_500);
        for (int i = 0; i < 3; i++) {
            register.claim(claim("q" + i), i * HOUR);
            register.bill(usage("q" + i, 1_000), i * HOUR);
        }
        ClaimResult oldest = register.claim(claim("q0"), 3 * HOUR);
        assertThat(oldest.getOutcome()).isEqualTo(ClaimResult.Outcome.RAN);
        assertThat(oldest.getAnswerKept()).isFalse();
        assertThat(register.claim(claim("q2"), 3 * HOUR).getAnswerKept()).isTrue();
    }

    /** Guards against partially kept answers above the limit. */
    @Test
    void keepsAnswersUpToTheLimit() {
        RequestRegister register = new RequestRegister();
        register.claim(claim("q1"), 0);
        register.bill(usage("q1", RequestRegister.MAX_ANSWER_BYTES), 0);
        register.claim(claim("q2"), 0);
        register.bill(usage("q2", RequestRegister.MAX_ANSWER_BYTES + 1), 0);
        assertThat(register.claim(claim("q1"), 0).getAnswer().size()).isEqualTo(RequestRegister.MAX_ANSWER_BYTES);
        assertThat(register.claim(claim("q2"), 0).getAnswerKept()).isFalse();
    }

    /** Guards against lost or mixed-up entries when the index of a bucket grows. */
    @Test
    void findsAllEntriesAfterIndexGrowth() {
        RequestRegister register = new RequestRegister();
        for (int i = 0; i < 20_000; i++) {
            register.bill(usage("q" + i, 0).toBuilder().setTokens(i).build(), i % 3 * HOUR);
        }
        assertThat(register.size()).isEqualTo(20_000);
        for (int i = 0; i < 20_000; i++) {
            assertThat(register.explain("c", "q" + i).getUsage().getTokens()).isEqualTo(i);
        }
        assertThat(register.explain("c", "q20000").getKnown()).isFalse();
    }

    private static Claim claim(String id) {
        return Claim.newBuilder()
                .setBudget(BUDGET)
                .setRequestId(id)
                .setDigest(ByteString.copyFromUtf8("content"))
                .setIncarnation("r@1")
                .setAgent("a1")
                .build();
    }

    private static Usage usage(String id, int answerBytes) {
        return Usage.newBuilder()
                .setBudget(BUDGET)
                .setRequestId(id)
                .setGrantId("r@1-1")
                .setIncarnation("r@1")
                .setAnswer(ByteString.copyFrom(new byte[answerBytes]))
                .build();
    }
}
