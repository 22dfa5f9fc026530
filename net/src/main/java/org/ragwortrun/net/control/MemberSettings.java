package org.ragwortrun.net.control;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.concurrent.SingleThreadExecutor;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.settings.Settings;
import org.ragwortrun.core.settings.SettingsException;
import org.ragwortrun.net.Address;

/**
 * Follows the control members in a daemon's settings file, which may be replaced with or without a signal.
 *
 * <p>Has a thread of its own, because the disk of the file may be slow. Members in a file that cannot be used are ignored.
 */
public final class MemberSettings implements AutoCloseable, Runnable {
    private static final Logger LOG = LogManager.getLogger(MemberSettings.class);
    private static final long INTERVAL_MS = TimeUnit.SECONDS.toMillis(1);

    private final ScheduledExecutorService timer = SingleThreadExecutor.timer("settings");
    private final Consumer<Map<String, Address>> receiver;
    private Settings current;
    private Map<String, Address> members;
    private boolean failing;

    private MemberSettings(Settings settings, Consumer<Map<String, Address>> receiver) {
        current = settings;
        members = ControlMembers.read(settings);
        this.receiver = receiver;
    }

    /**
     * Starts to follow the file of settings that have been checked.
     *
     * @param receiver receives the members by name whenever they have changed
     */
    public static MemberSettings follow(Settings settings, Consumer<Map<String, Address>> receiver) {
        MemberSettings follower = new MemberSettings(settings, receiver);
        SingleThreadExecutor.repeat(follower.timer, follower, INTERVAL_MS, INTERVAL_MS);
        return follower;
    }

    @Override
    public void run() {
        try {
            Optional<Settings> changed = current.readIfChanged();
            if (changed.isPresent()) {
                apply(changed.get());
            }
            failing = false;
        } catch (SettingsException e) {
            if (!failing) {
                Event.of("settings-unreadable").warn(LOG, e);
            }
            failing = true;
        }
    }

    private void apply(Settings next) throws SettingsException {
        Map<String, Address> read = ControlMembers.read(next);
        next.checkValues();
        current = next;
        if (!read.equals(members)) {
            members = read;
            Event.of("members-changed").with("members", read.values()).info(LOG);
            receiver.accept(read);
        }
    }

    @Override
    public void close() {
        SingleThreadExecutor.stop(timer);
    }
}
