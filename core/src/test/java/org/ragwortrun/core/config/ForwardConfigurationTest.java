package org.ragwortrun.core.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.ragwortrun.proto.Evacuation;
import org.ragwortrun.proto.MoveProgress;
import org.ragwortrun.proto.MoveState;
import org.ragwortrun.proto.OrderedMove;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.VersionDecision;

final class ForwardConfigurationTest {
    private static final Section ORIGIN = section("origin", "o", Map.of());

    @Test
    void selectsLongestPathPrefixOfHost() throws ConfigurationException {
        Configuration c = configuration(forward("f", "/a/", "o"), forward("g", "/a/b/", "o"));
        assertThat(c.forwards().find("H.example:80", "/a/b/x").map(Forward::name))
                .hasValue("g");
        assertThat(c.forwards().find("h.example", "/a/c").map(Forward::name)).hasValue("f");
        assertThat(c.forwards().find("h.example", "/x")).isEmpty();
        assertThat(c.forwards().find("other.example", "/a/")).isEmpty();
    }

    @Test
    void rejectsInvalidForwards() {
        assertThat(rules(forward("f", "/a/", "nowhere"))).containsExactly("missing-reference");
        assertThat(rules(forward("f", "/a/", "o"), forward("g", "/a/", "o"))).containsExactly("duplicate-forward");
        assertThat(rules(forward("f", "/a/", "o:0"))).containsExactly("weights");
        assertThat(rules(forward("f", "/a/", "o", "0ms"))).containsExactly("positive-duration");
    }

    /** Guards against a rate for cold endpoints that never applies, because they are never cold. */
    @Test
    void checksWarmUp() {
        assertThat(warmUpRules(Map.of("warm-up", "3s", "warm-up-rate", "12.5"))).isEmpty();
        assertThat(warmUpRules(Map.of("warm-up", "3s"))).isEmpty();
        assertThat(warmUpRules(Map.of("warm-up-rate", "12"))).containsExactly("warm-up");
        assertThat(warmUpRules(Map.of("warm-up", "11m"))).containsExactly("warm-up");
        for (String rate : List.of("-1", "NaN", "Infinity", "many")) {
            assertThat(warmUpRules(Map.of("warm-up", "3s", "warm-up-rate", rate)))
                    .contains("number");
        }
    }

    private static List<String> warmUpRules(Map<String, String> properties) {
        return ConfigurationChecker.standard().check(List.of(section("origin", "o", properties)), List.of(), 0).stream()
                .map(ConfigurationError::rule)
                .distinct()
                .toList();
    }

    @Test
    void rejectsOriginBudgetWithoutAccount() {
        Section budget = section("budget", "c", Map.of("prepaid", "5"));
        assertThat(rules(budget)).containsExactly("missing-reference");
        assertThat(rules(budget, section("account", "c", Map.of("metered", "yes"))))
                .isEmpty();
    }

    @Test
    void acceptsChangedTotal() {
        List<Section> before =
                List.of(section("account", "c", Map.of()), section("budget", "c", Map.of("prepaid", "5")));
        List<Section> after =
                List.of(section("account", "c", Map.of()), section("budget", "c", Map.of("prepaid", "4")));
        assertThat(ConfigurationChecker.standard().check(after, before, 0)).isEmpty();
    }

    /** Guards against traffic to a version that no move has admitted or that was rolled back. */
    @Test
    void originSharesFollowMoveProgress() throws ConfigurationException {
        OrderedMove baseline =
                OrderedMove.newBuilder().setService("o").setFrom("v1").build();
        OrderedMove move = OrderedMove.newBuilder()
                .setService("o")
                .setFrom("v1")
                .setTarget("v2")
                .setDurationMs(1)
                .build();
        assertThat(shares(List.of(baseline, move), List.of(), List.of())).containsExactly("v1", 1000);
        MoveProgress running = MoveProgress.newBuilder()
                .setMove("@o/v2")
                .setSharePermille(100)
                .setState(MoveState.MOVE_RUNNING)
                .build();
        assertThat(shares(List.of(baseline, move), List.of(running), List.of())).containsExactly("v1", 900, "v2", 100);
        VersionDecision blocked = VersionDecision.newBuilder()
                .setService("o")
                .setVersion("v2")
                .setBlocked(true)
                .build();
        assertThat(shares(List.of(baseline, move), List.of(running), List.of(blocked)))
                .containsExactly("v1", 1000);
    }

    @Test
    void readsRegionsOfForwardsAndAccounts() throws ConfigurationException {
        Section f = forward("f", "/a/", "o").toBuilder()
                .putProperties("regions", "north, south")
                .build();
        Configuration c = configuration(f, section("account", "c", Map.of("regions", "west")));
        assertThat(c.forwards().named("f").orElseThrow().regions()).containsExactly("north", "south");
        assertThat(c.account("c").orElseThrow().regions()).containsExactly("west");
        assertThat(c.restrictsRegions()).isTrue();
        assertThat(configuration(forward("f", "/a/", "o")).restrictsRegions()).isFalse();
        assertThat(rules(f)).isEmpty();
    }

    /** Guards against a list that names no region and is taken for no restriction. */
    @Test
    void rejectsMalformedRegions() {
        for (String wrong : List.of("", " ", ",", "north,", "no rth", "x".repeat(65))) {
            Section f = forward("f", "/a/", "o").toBuilder()
                    .putProperties("regions", wrong)
                    .build();
            assertThat(rules(f)).containsExactly("regions");
            assertThat(rules(section("account", "c", Map.of("regions", wrong)))).containsExactly("regions");
        }
    }

    @Test
    void knowsEvacuatedDataCenters() throws ConfigurationException {
        Evacuation active =
                Evacuation.newBuilder().setDataCenter("n1").setActive(true).build();
        Evacuation ended = Evacuation.newBuilder().setDataCenter("n2").build();
        Configuration c = Configuration.of(1, List.of(), List.of(), List.of(), List.of(), List.of(active, ended));
        assertThat(c.isEvacuated("n1")).isTrue();
        assertThat(c.isEvacuated("n2")).isFalse();
        assertThat(c.isEvacuated("n3")).isFalse();
        assertThat(c.evacuations()).containsExactly(active, ended);
    }

    private static Map<String, Integer> shares(
            List<OrderedMove> moves, List<MoveProgress> progress, List<VersionDecision> decisions)
            throws ConfigurationException {
        return Configuration.of(1, List.of(ORIGIN), progress, decisions, moves).originShares("o");
    }

    private static Configuration configuration(Section... more) throws ConfigurationException {
        return Configuration.of(1, with(more), List.of(), List.of());
    }

    private static List<String> rules(Section... more) {
        return ConfigurationChecker.standard().check(with(more), List.of(), 0).stream()
                .map(ConfigurationError::rule)
                .toList();
    }

    private static List<Section> with(Section... more) {
        return Stream.concat(Stream.of(ORIGIN), Stream.of(more)).toList();
    }

    private static Section forward(String name, String path, String to) {
        return forward(name, path, to, "3s");
    }

    private static Section forward(String name, String path, String to, String timeout) {
        return section(
                "forward",
                name,
                Map.of("host", "h.example", "path", path, "kind", "idempotent", "to", to, "timeout", timeout));
    }

    private static Section section(String kind, String name, Map<String, String> properties) {
        return Section.newBuilder()
                .setKind(kind)
                .setName(name)
                .putAllProperties(properties)
                .build();
    }
}
