package org.ragwortrun.router.internal.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.net.control.ConfigWatch;
import org.ragwortrun.net.control.ControlClient;

/** Source of the latest configuration that this router has received, if there is one. */
interface ConfigurationSource extends Supplier<Optional<Configuration>> {
    /** Returns the number of the latest configuration, 0 if there is none. */
    default long number() {
        return get().map(Configuration::number).orElse(0L);
    }

    /** Returns whether a control member has confirmed a configuration recently enough to deny requests by it. */
    boolean isConfirmed(Configuration configuration);

    /** Returns whether this configuration contains all changes that were accepted before the age for denials. */
    boolean isRecent();

    /**
     * Returns the monotonic time in nanoseconds at which the first call to a control member was sent that has had no
     * answer, and no later one either, empty if there is none.
     */
    OptionalLong unansweredSinceNanos();

    /**
     * Returns the monotonic time in nanoseconds at which a leader last answered or sent something, empty if there is none.
     */
    OptionalLong leaderHeardNanos();

    /** Returns whether a control member has sent something lately, whether or not one leads. */
    boolean reachesMembers();

    /** Requests a confirmation, unless one is under way. */
    void confirm();

    /** Returns the time in milliseconds since the last answered confirmation was sent, empty if none was answered. */
    OptionalLong confirmedAgeMs();

    /**
     * Creates a source.
     *
     * @param denialAge time since a confirmation was sent for which the configuration counts as recent, so that requests
     *     may be denied by it
     */
    static ConfigurationSource of(ConfigWatch watch, ControlClient control, Duration denialAge) {
        return new ConfigurationSource() {
            @Override
            public Optional<Configuration> get() {
                return watch.latest();
            }

            @Override
            public boolean isConfirmed(Configuration configuration) {
                return watch.isConfirmedWithin(denialAge, configuration);
            }

            @Override
            public boolean isRecent() {
                return watch.isConfirmedWithin(denialAge);
            }

            @Override
            public OptionalLong unansweredSinceNanos() {
                return watch.unansweredSinceNanos();
            }

            @Override
            public OptionalLong leaderHeardNanos() {
                return watch.leaderHeardNanos();
            }

            @Override
            public boolean reachesMembers() {
                return !control.isPartitioned();
            }

            @Override
            public void confirm() {
                watch.confirm();
            }

            @Override
            public OptionalLong confirmedAgeMs() {
                return watch.confirmedAgeMs();
            }
        };
    }
}
