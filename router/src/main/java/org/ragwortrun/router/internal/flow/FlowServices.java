package org.ragwortrun.router.internal.flow;

import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.router.internal.agents.AgentPool;
import org.ragwortrun.router.internal.evidence.EvidenceCollector;
import org.ragwortrun.router.internal.ledger.Grants;
import org.ragwortrun.router.internal.ledger.Register;
import org.ragwortrun.router.internal.ledger.SettlementQueue;
import org.ragwortrun.routing.BufferBudget;
import org.ragwortrun.routing.EndpointChooser;
import org.ragwortrun.routing.RetryPolicy;
import org.ragwortrun.routing.VersionPicker;

/** Services that all requests of a router share. */
public record FlowServices(
        FlowSettings settings,
        Supplier<Optional<Configuration>> configuration,
        Grants grants,
        Register register,
        SettlementQueue settlements,
        AgentPool agents,
        EndpointChooser chooser,
        SuspectRule suspects,
        VersionPicker versions,
        RetryPolicy retries,
        BufferBudget buffers,
        EvidenceCollector evidence,
        Metrics metrics,
        Time time,
        ScheduledExecutorService timer) {}
