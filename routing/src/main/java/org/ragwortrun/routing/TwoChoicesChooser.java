package org.ragwortrun.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.IntUnaryOperator;

/**
 * Takes the less loaded of two endpoints picked at random.
 *
 * <p>Load is this router's own work in flight in relation to the slots of the endpoint. Endpoints of the router's data
 * center come first as long as one of them has a free slot.
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
        List<EndpointCandidate> from = near.isEmpty() ? candidates : near;
        if (from.size() <= 1) {
            return from.stream().findFirst();
        }
        int first = random.applyAsInt(from.size());
        int second = random.applyAsInt(from.size() - 1);
        EndpointCandidate a = from.get(first);
        EndpointCandidate b = from.get(second < first ? second : second + 1);
        return Optional.of(Comparator.comparingDouble(TwoChoicesChooser::load).compare(a, b) <= 0 ? a : b);
    }

    private static double load(EndpointCandidate c) {
        return (double) c.inFlight() / Math.max(1, c.slots());
    }
}
