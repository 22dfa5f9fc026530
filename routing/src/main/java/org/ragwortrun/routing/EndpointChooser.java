package org.ragwortrun.routing;

import java.util.List;
import java.util.Optional;

/** Chooses the endpoint that runs a request. Must be thread-safe. */
public interface EndpointChooser {
    /** Returns one of the candidates, or nothing if there is none. All candidates run the version that was picked. */
    Optional<EndpointCandidate> choose(ChoiceRequest request, List<EndpointCandidate> candidates);

    /** Notes the output of a request that has ended, from which a chooser may learn. */
    default void onOutput(String route, String account, long tokens) {}
}
