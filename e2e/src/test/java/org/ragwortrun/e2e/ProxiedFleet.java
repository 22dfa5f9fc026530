package org.ragwortrun.e2e;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ragwortrun.core.concurrent.Closer;
import org.ragwortrun.measure.fleet.Caller;
import org.ragwortrun.measure.fleet.CommandResult;
import org.ragwortrun.measure.fleet.EndpointSpec;
import org.ragwortrun.measure.fleet.Fleet;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.measure.fleet.Response;
import org.ragwortrun.measure.fleet.SmallFleet;
import org.ragwortrun.standins.FaultProxy;

/** A fleet whose router {@code r1} reaches the control members through fault-injecting proxies. */
final class ProxiedFleet implements AutoCloseable {
    static final int SHARDS = 2;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String HOST = "127.0.0.1";
    private static final int TOKEN_MILLIS = 5;

    final Fleet fleet;
    final Caller dealer = new Caller(SmallFleet.DEALER_KEY);
    private final Closer closer = new Closer();
    private final List<FaultProxy> proxies = new ArrayList<>();

    ProxiedFleet() throws FleetException, IOException {
        fleet = closer.register(new Fleet(SHARDS));
        fleet.addControls(3);
        List<String> members = new ArrayList<>();
        for (String name : List.of("c1", "c2", "c3")) {
            FaultProxy proxy = closer.register(FaultProxy.start(HOST, 0, HOST, fleet.controlPort(name)));
            proxies.add(proxy);
            members.add(name + "=" + HOST + ":" + proxy.port());
        }
        fleet.addRouter("r1", "dc1", String.join(", ", members));
        fleet.addRouter("r2", "dc2");
        List<String> options = List.of("--token-ms", Integer.toString(TOKEN_MILLIS));
        fleet.addEndpoint(new EndpointSpec("m1", "assistant", "v1", "engine", "dc1", options));
        fleet.addEndpoint(new EndpointSpec("m2", "assistant", "v1", "engine", "dc2", options));
        fleet.addEndpoint(new EndpointSpec("s1", "orders", "v1", "service", "dc1", List.of("--delay-ms", "2000")));
    }

    void start() throws FleetException {
        SmallFleet.start(fleet);
    }

    /** Disconnects the router {@code r1} from all control members. */
    void partitionRouter() {
        proxies.forEach(FaultProxy::disconnect);
    }

    void healRouter() {
        proxies.forEach(FaultProxy::heal);
    }

    /** Returns a request id that starts with the current time in epoch seconds. */
    static String timestampedId(String name) {
        return Instant.now().getEpochSecond() + "-" + name;
    }

    Response placeOrder(String router, String id) throws FleetException {
        return dealer.post(fleet.url(router) + "/orders/place", "{\"order\":\"" + id + "\"}", id);
    }

    /** Returns how many times the service ran each order, by order id. */
    Map<String, Integer> orderRuns() throws FleetException {
        return JSON.convertValue(
                json(dealer.get(fleet.endpointUrl("s1") + "/standin/record").body()),
                JSON.getTypeFactory().constructMapType(Map.class, String.class, Integer.class));
    }

    /** Returns the dealer's budget for a service, as shown in the dealer's statement. */
    JsonNode budget(String service) throws FleetException {
        JsonNode statement =
                json(command("statement", SmallFleet.DEALER, "--json").output());
        for (JsonNode b : statement.path("budgets")) {
            if (service.equals(b.path("service").asText())) {
                return b;
            }
        }
        throw new FleetException("no budget for " + service + " in " + statement);
    }

    CommandResult command(String... args) throws FleetException {
        return fleet.command(args);
    }

    static JsonNode json(String text) throws FleetException {
        try {
            return JSON.readTree(text);
        } catch (IOException e) {
            throw new FleetException("not JSON: " + text, e);
        }
    }

    @Override
    public void close() {
        closer.close();
    }
}
