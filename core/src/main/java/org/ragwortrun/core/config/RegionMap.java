package org.ragwortrun.core.config;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.ragwortrun.core.settings.Settings;

/**
 * The region of each data center that the settings name.
 *
 * @param byDataCenter regions by data center
 */
public record RegionMap(Map<String, String> byDataCenter) {
    private static final String KEY = "regions.data-centers";

    /** Reads a list of {@code DATA_CENTER=REGION}, which may be absent. Rejects other entries. */
    public static RegionMap read(Settings s) {
        Map<String, String> regions = new LinkedHashMap<>();
        for (String entry : s.optionalList(KEY)) {
            String[] parts = entry.split("=", 2);
            if (parts.length != 2 || parts[0].isBlank() || parts[1].isBlank()) {
                s.reject(KEY, "must be a list of DATA_CENTER=REGION, not " + entry);
            } else {
                regions.put(parts[0].trim(), parts[1].trim());
            }
        }
        return new RegionMap(Map.copyOf(regions));
    }

    public Optional<String> region(String dataCenter) {
        return Optional.ofNullable(byDataCenter.get(dataCenter));
    }
}
