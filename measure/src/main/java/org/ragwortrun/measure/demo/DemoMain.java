package org.ragwortrun.measure.demo;

import org.ragwortrun.measure.fleet.Answer;
import org.ragwortrun.measure.fleet.Caller;
import org.ragwortrun.measure.fleet.Fleet;
import org.ragwortrun.measure.fleet.FleetException;
import org.ragwortrun.measure.fleet.SmallFleet;

/** Runs a whole fleet for a few requests. */
public final class DemoMain {
    private DemoMain() {}

    public static void main(String[] args) throws FleetException {
        try (Fleet fleet = SmallFleet.create(5)) {
            long t = System.nanoTime();
            SmallFleet.start(fleet);
            System.out.println("started ms=" + (System.nanoTime() - t) / 1_000_000);
            Caller dealer = new Caller(SmallFleet.DEALER_KEY);
            Answer a = dealer.chat(fleet.url("r1"), SmallFleet.MODEL, "how strong is the ash", 16, true, "");
            System.out.println(a.status() + " " + a.body());
            a = dealer.chat(fleet.url("r2"), SmallFleet.MODEL, "how strong is the ash", 16, false, "");
            System.out.println(a.status() + " " + a.body());
            String id = System.currentTimeMillis() / 1000 + "-order-1";
            a = dealer.post(fleet.url("r1") + "/orders/place", "{\"mantle\":3}", id);
            System.out.println(a.status() + " " + a.body());
            a = dealer.post(fleet.url("r2") + "/orders/place", "{\"mantle\":3}", id);
            System.out.println(a.status() + " " + a.body());
            System.out.println(fleet.command("statement", "dealer", "--json").output());
            System.out.println(fleet.stopAll());
            System.out.println(fleet.tails());
        }
    }
}
