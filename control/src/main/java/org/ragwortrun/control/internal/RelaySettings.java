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
 * @param dataCenter its data center
 * @param members addresses of the members by name, as far as the settings know them
 * @param listen address on which it listens
 * @param bootstrap names of the hosts of the first start, empty later
 */
public record RelaySettings(
        String name, String dataCenter, Map<String, Address> members, Address listen, List<String> bootstrap) {
    /**
     * Reads and checks the settings. Those that only a member uses are checked as for a member.
     *
     * @throws SettingsException with every problem
     */
    public static RelaySettings read(Settings s) throws SettingsException {
        // The settings of a member hold all that a relay needs. The folder is the one that a relay has none of.
        ControlSettings all = ControlSettings.read(s.with("storage.folder", "none"));
        return new RelaySettings(all.name(), all.dataCenter(), all.members(), all.listen(), all.bootstrap());
    }

    /** Returns the members without this host. */
    Map<String, Address> others() {
        Map<String, Address> others = new LinkedHashMap<>(members);
        others.remove(name);
        return others;
    }
}
