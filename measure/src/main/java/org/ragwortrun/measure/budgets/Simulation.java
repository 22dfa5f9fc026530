package org.ragwortrun.measure.budgets;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Components that all simulated processes of a run share. */
record Simulation(
        EventQueue queue,
        Links links,
        OwnerModel owner,
        List<AgentModel> agents,
        UniformRandomProvider random,
        GroundTruth truth) {}
