package org.ragwortrun.routing;

import java.util.List;
import java.util.Optional;

/** Chooses the endpoint that runs a request. Must be thread-safe. */
public interface EndpointChooser {
    /** Returns one of the candidates, or empty if there is none. All candidates run the picked version. */
    Optional<EndpointCandidate> choose(ChoiceRequest request, List<EndpointCandidate> candidates);

    /** Records the output of a finished request, so that a chooser can learn from it. */
    default void onOutput(String route, String account, long tokens) {}
}
