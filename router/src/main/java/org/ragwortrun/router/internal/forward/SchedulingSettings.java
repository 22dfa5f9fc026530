package org.ragwortrun.router.internal.forward;

import java.util.Map;
import java.util.Optional;
import org.ragwortrun.core.config.RegionMap;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.routing.HostLoad;

/**
 * Settings of the decisions that a router makes under load.
 *
 * @param enabled whether any of these decisions are made. The bounds on endpoints that warm up, evacuations and home
 *     regions do not depend on it
 * @param queue whether requests wait at this router for an endpoint with room
 * @param learnedPlacement whether requests are placed by learned speeds
 * @param ramps whether endpoints that start or recover are held to a rate that grows
 * @param linkMbps bandwidth of this host's network link in megabits per second, 0 if unknown
 * @param cores processor cores that this host may use, 0 if unknown
 * @param regions region of each data center
 */
record SchedulingSettings(
        boolean enabled,
        boolean queue,
        boolean learnedPlacement,
        boolean ramps,
        double linkMbps,
        double cores,
        Map<String, String> regions) {
    private static final double MAX_LINK_MBPS = 1_000_000;
    private static final double MAX_CORES = 1_024;

    private static final double MEGABIT_BYTES = 1e6 / 8;

    static SchedulingSettings read(Settings s) {
        boolean enabled = isYes(s, "scheduling.enabled", false);
        return new SchedulingSettings(
                enabled,
                isYes(s, "scheduling.queue", enabled),
                isYes(s, "scheduling.learned-placement", enabled),
                isYes(s, "scheduling.ramps", enabled),
                s.decimal("host.link-mbps", 0, 0, MAX_LINK_MBPS),
                s.decimal("host.core-share", 0, 0, MAX_CORES) * s.decimal("host.cores", 1, 0, MAX_CORES),
                RegionMap.read(s).byDataCenter());
    }

    private static boolean isYes(Settings s, String key, boolean fallback) {
        String text = s.text(key, fallback ? "yes" : "no");
        if (!text.equals("yes") && !text.equals("no")) {
            s.reject(key, "must be yes or no, not " + text);
        }
        return text.equals("yes");
    }

    /** Returns the capacity of this host, as far as it is known. */
    HostLoad.Capacity capacity() {
        return new HostLoad.Capacity(linkMbps * MEGABIT_BYTES, cores);
    }

    /** Returns whether this host measures its load and refuses requests when it is overloaded. */
    boolean watchesHost() {
        return enabled && capacity().isKnown();
    }

    /** Returns the region of a data center, if the settings name it. */
    Optional<String> region(String dataCenter) {
        return Optional.ofNullable(regions.get(dataCenter));
    }
}
