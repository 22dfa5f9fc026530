package org.ragwortrun.control.internal;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.ragwortrun.core.config.Durations;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.core.settings.SettingsException;
import org.ragwortrun.net.Address;
import org.ragwortrun.net.AddressException;
import org.ragwortrun.net.control.ControlMembers;
import org.ragwortrun.replication.HostSettings;

/**
 * Settings of a control member.
 *
 * @param name name of the member
 * @param dataCenter data center of the member
 * @param metricsPort port of the metrics page, 0 for none
 * @param members addresses of all members by name
 * @param listen address on which this member listens
 * @param folder data folder
 * @param shards number of shard groups
 * @param bootstrap names of the initial members, empty for a member that joins existing groups
 * @param configLease duration of a daemon's configuration lease
 * @param routerFenceAfter time without contact after which a router's incarnation is fenced
 * @param idRetention time for which request ids are kept
 * @param requestRing capacity of the request queue of each of the two services
 * @param electionTimeout time without contact from the leader after which an election starts
 * @param snapshotEntries number of log entries after which a snapshot replaces them
 * @param snapshotBytes size of a log in bytes after which a snapshot replaces it
 */
public record ControlSettings(
        String name,
        String dataCenter,
        int metricsPort,
        Map<String, Address> members,
        Address listen,
        Path folder,
        int shards,
        List<String> bootstrap,
        Duration configLease,
        Duration routerFenceAfter,
        Duration idRetention,
        int requestRing,
        Duration electionTimeout,
        long snapshotEntries,
        long snapshotBytes) {
    private static final int MAX_SHARDS = 1_024;
    private static final int MAX_PORT = 65_535;

    /**
     * Reads and checks the settings.
     *
     * @throws SettingsException listing every problem
     */
    public static ControlSettings read(Settings s) throws SettingsException {
        ControlSettings read = new ControlSettings(
                s.text("daemon.name"),
                s.text("daemon.data-center"),
                (int) s.number("daemon.metrics-port", 0, 0, MAX_PORT),
                ControlMembers.read(s),
                address(s, "control.listen"),
                Path.of(s.text("storage.folder")),
                (int) s.number("cluster.shards", 4, 1, MAX_SHARDS),
                s.optionalList("cluster.bootstrap"),
                duration(s, "control.config-lease", "3s", "500ms", "60s"),
                duration(s, "control.router-fence-after", "600s", "1s", "7d"),
                duration(s, "control.id-retention", "24h", "1m", "24h"),
                (int) s.number("control.request-ring", 8_192, 16, 1_000_000),
                duration(s, "cluster.election-timeout", "1s", "100ms", "30s"),
                s.number("cluster.snapshot-entries", HostSettings.SNAPSHOT_ENTRIES, 100, 10_000_000),
                s.number("cluster.snapshot-bytes", HostSettings.SNAPSHOT_BYTES, 1 << 10, 1 << 30));
        read.checkNames(s);
        s.check();
        return read;
    }

    private void checkNames(Settings s) {
        if (!members.containsKey(name)) {
            s.reject("daemon.name", "must be one of the names in control.members");
        }
        bootstrap.stream()
                .filter(b -> !members.containsKey(b))
                .forEach(b -> s.reject("cluster.bootstrap", "must list names from control.members, not " + b));
    }

    private static Address address(Settings s, String key) {
        String text = s.text(key);
        try {
            return text.isBlank() ? new Address("", 0) : Address.parse(text);
        } catch (AddressException e) {
            s.reject(key, "must be an address such as 10.0.0.1:7001, not " + text);
            return new Address("", 0);
        }
    }

    private static Duration duration(Settings s, String key, String fallback, String least, String most) {
        Duration value = s.duration(key, Durations.parse(fallback));
        Duration min = Durations.parse(least);
        Duration max = Durations.parse(most);
        if (value.compareTo(min) < 0 || value.compareTo(max) > 0) {
            s.reject(key, "must be from " + least + " to " + most);
        }
        return value;
    }
}
