package org.ragwortrun.control.internal;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.Evacuation;
import org.ragwortrun.proto.EvacuationOrder;
import org.ragwortrun.proto.EvacuationReply;
import org.ragwortrun.proto.Frame;
import org.ragwortrun.proto.Role;

final class EvacuationOrdersTest {
    private static final int VALID_MS = 900;

    private final FakeTime time = new FakeTime();
    private final FakeMetaGroup meta = new FakeMetaGroup(time);
    private final FakePeer operator = new FakePeer("op", Role.OPERATOR);
    private final EvacuationOrders orders = new EvacuationOrders(time, meta);

    @Test
    void repliesWithNumberOfOrder() throws Exception {
        orders.propose(operator, order("n1", true, VALID_MS), Arrival.now(time));
        EvacuationReply reply = operator.await(Frame::hasEvacuationReply).getEvacuationReply();
        assertThat(reply.getOutcome()).isEqualTo(EvacuationReply.Outcome.ACCEPTED);
        assertThat(reply.getNumber()).isEqualTo(1);
        Evacuation e = meta.state.evacuations().get(0);
        assertThat(e.getActive()).isTrue();
        assertThat(e.getChangedMs()).isEqualTo(time.wallMillis());
    }

    /** Guards against a delayed copy of an order that undoes the newer one which its sender has sent since. */
    @Test
    void doesNotProposeOrderWhoseSenderHasGivenUp() throws Exception {
        Arrival arrival = Arrival.now(time);
        time.advance(Duration.ofMillis(VALID_MS));
        orders.propose(operator, order("n1", true, VALID_MS), arrival);
        assertThat(operator.await(Frame::hasError).getError().getType()).isEqualTo("order-expired");
        assertThat(meta.number()).isEqualTo(0);
    }

    /** Guards against a delayed copy on a host whose monotonic clock stood still while it was suspended. */
    @Test
    void countsAgeByWallClockToo() throws Exception {
        Arrival arrival = new Arrival(time.nanos(), time.wallMillis() - VALID_MS);
        orders.propose(operator, order("n1", true, VALID_MS), arrival);
        assertThat(operator.await(Frame::hasError).getError().getType()).isEqualTo("order-expired");
        orders.propose(operator, order("n1", true, VALID_MS + 1), arrival);
        assertThat(operator.await(Frame::hasEvacuationReply)
                        .getEvacuationReply()
                        .getNumber())
                .isEqualTo(1);
    }

    /** Guards against a malformed name that is reported as a missing leader, for which operators try again. */
    @Test
    void refusesMalformedNameWithTypedError() throws Exception {
        orders.propose(operator, order("a/b", true, 0), Arrival.now(time));
        assertThat(operator.await(Frame::hasError).getError().getType()).isEqualTo("malformed-data-center");
    }

    private static Frame order(String dataCenter, boolean begin, int validMs) {
        return Frame.newBuilder()
                .setCall(1)
                .setEvacuationOrder(EvacuationOrder.newBuilder()
                        .setDataCenter(dataCenter)
                        .setBegin(begin)
                        .setValidMs(validMs))
                .build();
    }
}
