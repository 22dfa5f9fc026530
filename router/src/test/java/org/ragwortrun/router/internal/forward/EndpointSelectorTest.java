package org.ragwortrun.router.internal.forward;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.ConfigurationException;
import org.ragwortrun.core.config.Forward;
import org.ragwortrun.core.config.Origin;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.Evacuation;
import org.ragwortrun.proto.ListedEndpoint;
import org.ragwortrun.proto.Section;

/** Tests the rules that exclude endpoints, when an endpoint is selected and again when the request is sent. */
final class EndpointSelectorTest {
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Map<String, String> REGIONS = Map.of("n1", "north", "s1", "south");

    private final Metrics metrics = Metrics.local();
    private final FakeConfigurationSource configuration = new FakeConfigurationSource();
    private final EndpointTable endpoints = new EndpointTable(
            Time.steady(),
            e -> new EndpointConnectionPool(null, null, null, null, null, null),
            (endpoint, head, current) -> {},
            SECOND,
            false);

    /** Guards against a request that is sent after the evacuation began, because its connection was being opened. */
    @Test
    void endpointIsCheckedAgainWhenRequestIsSent() throws ConfigurationException {
        list("n1");
        configure(List.of());
        EndpointSelector selector = selector(Set.of(), Set.of());
        EndpointState chosen = selector.choose(Set.of(), true).endpoint().orElseThrow();
        chosen.onRequestStarted(0);
        assertThat(selector.stillAccepts(chosen, false, Time.steady().nanos())).isTrue();
        configure(List.of("n1"));
        assertThat(selector.stillAccepts(chosen, false, Time.steady().nanos())).isFalse();
        assertThat(selector.choose(Set.of(), true).allowed()).isEqualTo(0);
        configure(List.of("s1"));
        assertThat(selector.stillAccepts(chosen, false, Time.steady().nanos())).isTrue();
    }

    /** Guards against a waiting request that leaves the regions to which its route was restricted meanwhile. */
    @Test
    void waitingRequestObeysNewRestriction() throws ConfigurationException {
        list("n1", "s1");
        configure(List.of());
        EndpointSelector selector = selector(Set.of(), Set.of());
        EndpointState north = endpoints.find("n1").orElseThrow();
        north.onRequestStarted(0);
        assertThat(selector.stillAccepts(north, false, Time.steady().nanos())).isTrue();
        configure(
                List.of(),
                section(
                        "forward",
                        "f",
                        Map.of("host", "h", "path", "/", "kind", "once", "to", "o", "regions", "south")));
        assertThat(selector.stillAccepts(north, false, Time.steady().nanos())).isFalse();
        assertThat(choose(selector)).isEqualTo("s1");
        configure(List.of(), section("account", "c", Map.of("regions", "north")));
        assertThat(choose(selector)).isEqualTo("n1");
    }

    @Test
    void evacuatedHomeLeavesNoEndpoint() throws ConfigurationException {
        list("n1", "s1", "x1");
        configure(List.of("s1"), section("account", "c", Map.of("regions", "south")));
        assertThat(choose(selector(Set.of(), Set.of()))).isEqualTo("none");
    }

    private static String choose(EndpointSelector selector) {
        return selector.choose(Set.of(), true).endpoint().map(EndpointState::id).orElse("none");
    }

    /** Applies a list with one endpoint for each data center, with the same name. */
    private void list(String... dataCenters) {
        endpoints.applyOwnList(java.util.Arrays.stream(dataCenters)
                .map(d -> ListedEndpoint.newBuilder()
                        .setId(d)
                        .setService("o")
                        .setAddress("127.0.0.1:1")
                        .setDataCenter(d)
                        .build())
                .toList());
    }

    private void configure(List<String> evacuated, Section... sections) throws ConfigurationException {
        List<Evacuation> evacuations = evacuated.stream()
                .map(d ->
                        Evacuation.newBuilder().setDataCenter(d).setActive(true).build())
                .toList();
        configuration.configuration =
                Optional.of(Configuration.of(1, List.of(sections), List.of(), List.of(), List.of(), evacuations));
    }

    private static Section section(String kind, String name, Map<String, String> properties) {
        return Section.newBuilder()
                .setKind(kind)
                .setName(name)
                .putAllProperties(properties)
                .build();
    }

    private EndpointSelector selector(Set<String> ofRoute, Set<String> ofAccount) {
        Forward route = new Forward(
                "f", "h", "/", Forward.Kind.ONCE, false, SECOND, SECOND, SECOND, 0, Map.of(), 1, false, false, ofRoute);
        Account account = new Account("c", Set.of(), OptionalInt.empty(), false, ofAccount);
        Origin origin = new Origin("o", false, "/", 0, 1, 0, 1, Duration.ZERO, 0);
        CallerRequest request = new CallerRequest(
                "q",
                "h",
                "/",
                Optional.empty(),
                OptionalLong.empty(),
                Optional.empty(),
                List.of(),
                OptionalLong.empty());
        return new EndpointSelector(
                services(), request, new Admitted(route, origin, Optional.of(account), 1, OptionalLong.empty(), 0));
    }

    private ForwardServices services() {
        return new ForwardServices(
                "dc",
                configuration,
                null,
                endpoints,
                new FixedRatePlacement("dc"),
                new PerformanceTable(false, endpoints),
                List.of(new EvacuationFilter(), new HomeRegionFilter(d -> Optional.ofNullable(REGIONS.get(d)))),
                null,
                null,
                new RequestScheduler(false, endpoints, metrics, Time.steady(), null, () -> 0),
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                metrics,
                Time.steady(),
                null,
                null,
                () -> 0);
    }
}
