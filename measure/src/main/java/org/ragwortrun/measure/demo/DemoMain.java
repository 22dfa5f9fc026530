package org.ragwortrun.measure.demo;

import org.ragwortrun.measure.fleet.FleetException;

/** Runs the demonstration. Exits with 0 only if every answer and every bill is right. */
public final class DemoMain {
    private DemoMain() {}

    public static void main(String[] args) {
        Checks checks = new Checks(System.out);
        try {
            new Demo(System.out, checks).run();
        } catch (FleetException e) {
            checks.fail("the demonstration ended early: " + e.getMessage());
        }
        System.exit(checks.report() ? 0 : 1);
    }
}
