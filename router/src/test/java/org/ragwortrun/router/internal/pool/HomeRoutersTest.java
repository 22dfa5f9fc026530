package org.ragwortrun.router.internal.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ragwortrun.net.Address;

final class HomeRoutersTest {
    /** Guards against routers that need connections to many others when there are many accounts. */
    @Test
    void allAccountsShareOneHomeInEachDataCenter() {
        Set<String> used = new HashSet<>();
        Set<String> firsts = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            List<RouterPeer> homes = HomeRouters.of("account" + i, fleet(35, 5));
            assertThat(homes.stream().map(RouterPeer::dataCenter).distinct().count())
                    .isEqualTo(5);
            homes.forEach(h -> used.add(h.name()));
            firsts.add(homes.get(0).name());
        }
        assertThat(used).hasSize(5);
        assertThat(firsts).isEqualTo(used);
    }

    /** Guards against accounts of other homes that move when one home is lost. */
    @Test
    void lostHomeMovesOnlyItsOwnAccounts() {
        List<RouterPeer> before = fleet(35, 5);
        String lost = HomeRouters.of("a", before).get(0).name();
        List<RouterPeer> after =
                before.stream().filter(r -> !r.name().equals(lost)).toList();
        for (int i = 0; i < 200; i++) {
            RouterPeer home = HomeRouters.of("account" + i, before).get(0);
            if (!home.name().equals(lost)) {
                List<RouterPeer> next = HomeRouters.of("account" + i, after);
                assertThat(next.indexOf(home)).isAtMost(1);
            }
        }
    }

    /** With few routers, each one receives enough requests of every account to use its own grants. */
    @Test
    void fewRoutersUseTheirOwnGrants() {
        assertThat(HomeRouters.of("a", fleet(7, 3))).isEmpty();
        assertThat(HomeRouters.of("a", List.of())).isEmpty();
    }

    static List<RouterPeer> fleet(int routers, int dataCenters) {
        List<RouterPeer> all = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            all.add(new RouterPeer("r" + i, "dc" + i % dataCenters, new Address("10.0.0." + i, 7_000)));
        }
        return all;
    }
}
