package org.ragwortrun.router.internal.forward;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.ragwortrun.core.config.Configuration;

/** A source that returns what a test has set, and counts calls. */
final class FakeConfigurationSource implements ConfigurationSource {
    Optional<Configuration> configuration = Optional.empty();
    BooleanSupplier recent = () -> false;
    OptionalLong unansweredSinceNanos = OptionalLong.empty();
    OptionalLong leaderHeardNanos = OptionalLong.empty();
    OptionalLong confirmedAgeMs = OptionalLong.empty();
    boolean reachesMembers;
    int reads;
    int confirmationsRequested;

    @Override
    public Optional<Configuration> get() {
        reads++;
        return configuration;
    }

    @Override
    public boolean isConfirmed(Configuration used) {
        return recent.getAsBoolean();
    }

    @Override
    public boolean isRecent() {
        return recent.getAsBoolean();
    }

    @Override
    public OptionalLong unansweredSinceNanos() {
        return unansweredSinceNanos;
    }

    @Override
    public OptionalLong leaderHeardNanos() {
        return leaderHeardNanos;
    }

    @Override
    public boolean reachesMembers() {
        return reachesMembers;
    }

    @Override
    public void confirm() {
        confirmationsRequested++;
    }

    @Override
    public OptionalLong confirmedAgeMs() {
        return confirmedAgeMs;
    }
}
