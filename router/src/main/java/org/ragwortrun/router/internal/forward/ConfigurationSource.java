package org.ragwortrun.router.internal.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.net.control.ConfigWatch;

/** Source of the latest configuration that this router has received, if there is one. */
interface ConfigurationSource extends Supplier<Optional<Configuration>> {
    /** Returns whether a control member has confirmed a configuration recently enough to deny requests by it. */
    boolean isConfirmed(Configuration configuration);

    /** Returns the time in milliseconds since the last answered confirmation was sent, empty if none was answered. */
    OptionalLong confirmedAgeMs();

    /**
     * Creates a source.
     *
     * @param denialAge time since a confirmation was sent for which requests may be denied by the configuration
     */
    static ConfigurationSource of(ConfigWatch watch, Duration denialAge) {
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
            public OptionalLong confirmedAgeMs() {
                return watch.confirmedAgeMs();
            }
        };
    }
}
