package org.ragwortrun.agent.internal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;
import org.ragwortrun.proto.BudgetRef;

/** Key that identifies a request within the fleet. */
record RequestKey(String account, String service, String id) {

    static RequestKey of(BudgetRef budget, String requestId) {
        return new RequestKey(budget.getAccount(), budget.getService(), requestId);
    }

    BudgetRef budget() {
        return BudgetRef.newBuilder().setAccount(account).setService(service).build();
    }

    /** Returns a 16-byte hash of this request and an attempt, for use in large sets. */
    ByteBuffer hash(int attempt) {
        byte[] text = (account + '\n' + service + '\n' + id + '\n' + attempt).getBytes(StandardCharsets.UTF_8);
        long[] h = MurmurHash3.hash128x64(text);
        return ByteBuffer.allocate(2 * Long.BYTES).putLong(h[0]).putLong(h[1]).flip();
    }
}
