package org.ragwortrun.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.IntUnaryOperator;

/**
 * Chooses the less loaded of two endpoints picked at random.
 *
 * <p>Load is the ratio of this router's requests in flight to the slots of the endpoint. Endpoints in the router's data
 * center are preferred as long as one of them has a free slot.
 */
public final class TwoChoicesChooser implements EndpointChooser {
    private final IntUnaryOperator random;

    /**
     * Creates a chooser.
     *
     * @param random returns a number from 0 to its argument, exclusive; must be thread-safe
     */
    public TwoChoicesChooser(IntUnaryOperator random) {
        this.random = random;
    }

    @Override
    public Optional<EndpointCandidate> choose(ChoiceRequest request, List<EndpointCandidate> candidates) {
        List<EndpointCandidate> near = candidates.stream()
                .filter(c -> c.dataCenter().equals(request.dataCenter()))
                .filter(c -> c.inFlight() < c.slots())
                .toList();
        List<EndpointCandidate> eligible = near.isEmpty() ? candidates : near;
        if (eligible.size() <= 1) {
            return eligible.stream().findFirst();
        }
        int first = random.applyAsInt(eligible.size());
        int second = random.applyAsInt(eligible.size() - 1);
        EndpointCandidate a = eligible.get(first);
        EndpointCandidate b = eligible.get(second < first ? second : second + 1);
        return Optional.of(Comparator.comparingDouble(TwoChoicesChooser::load).compare(a, b) <= 0 ? a : b);
    }

    private static double load(EndpointCandidate c) {
        return (double) c.inFlight() / Math.max(1, c.slots());
    }
}
