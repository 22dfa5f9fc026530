package org.ragwortrun.measure.routing;

import java.util.List;
import java.util.function.DoubleSupplier;
import org.ragwortrun.router.internal.forward.LearnedPlacement;
import org.ragwortrun.router.internal.forward.Placement;

/** How a router chooses an endpoint. */
public enum Policy {
    /** One endpoint after the other. */
    ROUND_ROBIN {
        @Override
        SimulatedView choose(SimulatedRouter router, SimulatedRequest request, DoubleSupplier random) {
            return router.views().get((int) (router.sent() % router.views().size()));
        }
    },
    /** The one with fewer requests of this router among two that are drawn at random. */
    TWO_CHOICES {
        @Override
        SimulatedView choose(SimulatedRouter router, SimulatedRequest request, DoubleSupplier random) {
            List<SimulatedView> all = router.views();
            SimulatedView a = all.get((int) (random.getAsDouble() * all.size()));
            SimulatedView b = all.get((int) (random.getAsDouble() * all.size()));
            return a.inFlight() <= b.inFlight() ? a : b;
        }
    },
    /** Fixed rates, the same for all endpoints. */
    FIXED_RATES {
        @Override
        SimulatedView choose(SimulatedRouter router, SimulatedRequest request, DoubleSupplier random) {
            List<Placement.Candidate> candidates = router.views().stream()
                    .map(v -> new Placement.Candidate(
                            v.id(),
                            v.inFlight(),
                            v.reported(),
                            v.slots(),
                            v.pendingTokens(),
                            v.cachedTokens(request.parts()),
                            v.sameDataCenter(),
                            false))
                    .toList();
            String id = Placement.choose(
                            candidates, request.parts(), router.load().model())
                    .orElseThrow()
                    .id();
            return router.views().stream()
                    .filter(v -> v.id().equals(id))
                    .findFirst()
                    .orElseThrow();
        }
    },
    /** Learned rates. */
    LEARNED_RATES {
        @Override
        SimulatedView choose(SimulatedRouter router, SimulatedRequest request, DoubleSupplier random) {
            return new LearnedPlacement(random)
                    .choose(
                            router.views(),
                            new LearnedPlacement.Request(
                                    request.parts(),
                                    request.maxTokens(),
                                    router.load().model()),
                            router.performance(),
                            router.nanos())
                    .orElseThrow();
        }
    };

    abstract SimulatedView choose(SimulatedRouter router, SimulatedRequest request, DoubleSupplier random);
}
