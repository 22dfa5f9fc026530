package org.ragwortrun.measure.fleet;

import java.util.List;

/**
 * Options of the control members and routers of a fleet.
 *
 * @param controlJvm options of the JVM of a control member
 * @param routerJvm options of the JVM of a router
 * @param clusterSettings additional lines in the section {@code cluster} of a control member's settings
 */
public record FleetOptions(List<String> controlJvm, List<String> routerJvm, String clusterSettings) {
    /** Options of a fleet whose memory does not matter. */
    public static final FleetOptions DEFAULT = new FleetOptions(jvm("128m"), jvm("128m"), "");

    /** Small heaps and an election timeout of half a second, as in {@code deploy}. */
    public static final FleetOptions DEPLOYED = new FleetOptions(
            jvm("72m"), jvm("96m"), "election-timeout = 500ms\nsnapshot-entries = 1000\nsnapshot-bytes = 131072\n");

    private static List<String> jvm(String heap) {
        return List.of("-Xmx" + heap, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    }
}
