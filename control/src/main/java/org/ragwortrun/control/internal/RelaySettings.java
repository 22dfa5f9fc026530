package org.ragwortrun.control.internal;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.core.settings.SettingsException;
import org.ragwortrun.net.Address;

/**
 * Settings of a control process without storage.
 *
 * @param name name of the host
 * @param dataCenter data center of the host
 * @param members addresses of the members by name, as listed in the settings
 * @param listen address on which the host listens
 * @param bootstrap names of the hosts at the first start, empty at later starts
 */
public record RelaySettings(
        String name, String dataCenter, Map<String, Address> members, Address listen, List<String> bootstrap) {
    /**
     * Reads and checks the settings. Settings that only a member uses are checked as well.
     *
     * @throws SettingsException listing every problem
     */
    public static RelaySettings read(Settings s) throws SettingsException {
        // A relay needs a subset of the settings of a member. It has no folder, so a placeholder is set.
        ControlSettings all = ControlSettings.read(s.with("storage.folder", "none"));
        return new RelaySettings(all.name(), all.dataCenter(), all.members(), all.listen(), all.bootstrap());
    }

    /** Returns members without this host. */
    Map<String, Address> others(Map<String, Address> listed) {
        Map<String, Address> others = new LinkedHashMap<>(listed);
        others.remove(name);
        return others;
    }
}
