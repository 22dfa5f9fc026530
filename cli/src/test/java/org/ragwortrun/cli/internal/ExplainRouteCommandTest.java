package org.ragwortrun.cli.internal;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.FrameServer;
import org.ragwortrun.net.Replies;
import org.ragwortrun.net.Transport;
import org.ragwortrun.proto.Header;
import org.ragwortrun.proto.Hello;
import org.ragwortrun.proto.Role;
import org.ragwortrun.proto.RouteCandidate;
import org.ragwortrun.proto.RouteExplanation;
import org.ragwortrun.proto.RouteQuery;

/** Runs the command against a process that answers as a router does. */
final class ExplainRouteCommandTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final List<RouteQuery> queries = new ArrayList<>();
    private RouteExplanation explanation = RouteExplanation.newBuilder()
            .setRoute("chat")
            .setOrigin("model")
            .setConfigNumber(7)
            .setEndpoint("e-1")
            .addCandidates(RouteCandidate.newBuilder().setEndpoint("e-1").setCostMs(41.26))
            .addCandidates(RouteCandidate.newBuilder().setEndpoint("e-2").setExcluded("leaving"))
            .build();
    private Transport transport;
    private FrameServer server;

    @BeforeEach
    void listen() throws Exception {
        transport = new Transport(
                Hello.newBuilder().setName("r1").setRole(Role.ROUTER).build(), 1);
        server = transport.listen(new Address("127.0.0.1", 0), (peer, frame) -> {
            queries.add(frame.getRouteQuery());
            peer.send(Replies.to(frame).setRouteExplanation(explanation).build());
        });
    }

    @AfterEach
    void close() {
        server.close();
        transport.close();
    }

    @Test
    void printsEndpointAndCandidates() {
        assertThat(run("--host", "api", "--path", "/v1", "--header", "Authorization=Bearer a=b"))
                .isEqualTo(0);
        String text = out.toString(StandardCharsets.UTF_8);
        assertThat(text).contains("route chat, origin model, account none");
        assertThat(text).contains("sent to e-1");
        assertThat(text).containsMatch("e-1 .*41\\.3");
        assertThat(text).containsMatch("e-2 .*leaving");
        assertThat(queries)
                .containsExactly(RouteQuery.newBuilder()
                        .setHost("api")
                        .setPath("/v1")
                        .setMethod("GET")
                        .addHeaders(Header.newBuilder().setName("Authorization").setValue("Bearer a=b"))
                        .build());
    }

    @Test
    void printsJson() throws Exception {
        assertThat(run("--host", "api", "--path", "/v1", "--json")).isEqualTo(0);
        JsonNode json = new ObjectMapper().readTree(out.toByteArray());
        assertThat(json.path("endpoint").asText()).isEqualTo("e-1");
        assertThat(json.path("candidates").path(1).path("excluded").asText()).isEqualTo("leaving");
    }

    /** Guards against scripts that take a refusal for a success. */
    @Test
    void returnsExitCodeOfRefusal() {
        explanation = RouteExplanation.newBuilder()
                .setRefusal("unknown-route")
                .setDetail("no route matches")
                .build();
        assertThat(run("--host", "api", "--path", "/none")).isEqualTo(1);
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("refused: unknown-route: no route matches");
    }

    @Test
    void returnsUsageExitCodeForInvalidOptions() {
        assertThat(run("--path", "/v1")).isEqualTo(2);
        assertThat(run("--host", "api")).isEqualTo(2);
        assertThat(run("--host", "api", "--path", "/v1", "--header", "none")).isEqualTo(2);
        assertThat(run("--host", "api", "--path", "/v1", "more")).isEqualTo(2);
        assertThat(queries).isEmpty();
    }

    /** Guards against a command that waits forever for a router that is gone. */
    @Test
    void reportsRouterThatIsGone() {
        server.close();
        assertThat(run("--host", "api", "--path", "/v1", "--timeout", "300ms")).isEqualTo(4);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("router not reachable");
    }

    private int run(String... options) {
        String[] args = Stream.concat(
                        Stream.of("explain-route", "--router", "127.0.0.1:" + server.port()), Arrays.stream(options))
                .toArray(String[]::new);
        return Program.standard(new PrintStream(out), new PrintStream(err)).run(args);
    }
}
