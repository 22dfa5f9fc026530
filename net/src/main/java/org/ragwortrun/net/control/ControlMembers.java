package org.ragwortrun.net.control;

import java.util.LinkedHashMap;
import java.util.Map;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.AddressException;

/** Reads the control members from a daemon's settings. */
public final class ControlMembers {
    private static final String KEY = "control.members";

    private ControlMembers() {}

    /** Returns addresses by name from {@code control.members = c1=10.0.0.1:7001, c2=...}. */
    public static Map<String, Address> read(Settings settings) {
        Map<String, Address> members = new LinkedHashMap<>();
        for (String item : settings.list(KEY)) {
            String[] parts = item.split("=", 2);
            if (parts.length < 2) {
                settings.reject(KEY, "must list name=ip:port, not " + item);
                continue;
            }
            try {
                members.put(parts[0].trim(), Address.parse(parts[1]));
            } catch (AddressException e) {
                settings.reject(KEY, String.valueOf(e.getMessage()));
            }
        }
        return members;
    }
}
