package org.ragwortrun.measure.fleet;

import java.util.List;

/** A fleet of three control members, two routers, two versions of a model service and an order service. */
public final class SmallFleet {
    public static final String MODEL = "bench-model";
    public static final String DEALER = "dealer";
    public static final String DEALER_KEY = "dealer-key";
    public static final String WORKSHOP = "workshop";
    public static final String WORKSHOP_KEY = "workshop-key";
    public static final long TOP_UP = 1_000_000;
    public static final int ORDER_PRICE = 10;

    private static final int SHARDS = 2;

    private SmallFleet() {}

    /** Builds the fleet without starting it. */
    public static Fleet create(int tokenMillis) throws FleetException {
        Fleet fleet = new Fleet(SHARDS);
        fleet.addControls(3);
        fleet.addRouter("r1", "dc1");
        fleet.addRouter("r2", "dc2");
        List<String> options = List.of("--token-ms", Integer.toString(tokenMillis));
        fleet.addEndpoint(new EndpointSpec("m1", "assistant", "v1", "engine", "dc1", options));
        fleet.addEndpoint(new EndpointSpec("m2", "assistant", "v1", "engine", "dc2", options));
        fleet.addEndpoint(new EndpointSpec("m3", "assistant", "v2", "engine", "dc1", options));
        fleet.addEndpoint(new EndpointSpec("s1", "orders", "v1", "service", "dc1", List.of()));
        return fleet;
    }

    /** Starts all processes, publishes the configuration and waits until both routers are ready. */
    public static void start(Fleet fleet) throws FleetException {
        fleet.startAll();
        CommandResult published = publish(fleet, files(""));
        if (published.exit() != 0) {
            throw new FleetException(
                    "publish exited with " + published.exit() + ": " + published.output() + "\n" + fleet.logTails());
        }
        fleet.awaitReady("r1");
        fleet.awaitReady("r2");
    }

    /** Publishes a configuration. */
    public static CommandResult publish(Fleet fleet, String files) throws FleetException {
        return fleet.command("publish", fleet.writeFiles(files).toString(), "--wait", "20s");
    }

    /** Returns the configuration, with extra sections at the end. */
    public static String files(String extraSections) {
        return Fleet.account(DEALER, DEALER_KEY)
                + Fleet.account(WORKSHOP, WORKSHOP_KEY)
                + """
                [service assistant]
                kind = model
                model = %s
                version = v1

                [route chat]
                service = assistant
                path = /v1/chat/completions
                max-output = 256
                deadline = 30s

                [service orders]
                kind = plain
                version = v1

                [route orders-place]
                service = orders
                path = /orders/place
                repeatable = no
                price = %d
                deadline = 10s

                [route orders-stock]
                service = orders
                path = /orders/stock
                price = 1
                deadline = 10s

                [budget dealer/assistant]
                topup.first = %d

                [budget dealer/orders]
                topup.first = 1000

                [budget workshop/assistant]
                topup.first = %d

                """.formatted(MODEL, ORDER_PRICE, TOP_UP, TOP_UP)
                + extraSections;
    }
}
