package org.ragwortrun.control.internal;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.RouterAddress;

final class ServingRoutersTest {
    private static final List<String> MEMBERS = List.of("10.0.0.1:7000", "10.0.0.2:7000");

    @Test
    void prefersRoutersOnHostsWithoutMember() {
        assertThat(names(List.of(router("r3", "10.0.0.3:7100"), router("r1", "10.0.0.1:7100"))))
                .containsExactly("r3");
    }

    /** Guards against a small site on which no router coordinates limits, because each host has a member. */
    @Test
    void selectsRoutersBesideMembersIfThereAreNoOthers() {
        assertThat(names(List.of(router("r2", "10.0.0.2:7100"), router("r1", "10.0.0.1:7100"), router("r4", ""))))
                .containsExactly("r1", "r2")
                .inOrder();
    }

    private static List<String> names(List<Hello> routers) {
        return ServingRouters.select(routers, MEMBERS).stream()
                .map(RouterAddress::getName)
                .toList();
    }

    private static Hello router(String name, String address) {
        return Hello.newBuilder().setName(name).setAddress(address).build();
    }
}
