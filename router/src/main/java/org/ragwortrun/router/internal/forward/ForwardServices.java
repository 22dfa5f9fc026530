package org.ragwortrun.router.internal.forward;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.DoubleSupplier;
import org.ragwortrun.core.concurrent.StandstillMonitor;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.router.internal.evidence.EvidenceCollector;
import org.ragwortrun.router.internal.evidence.PartQuarantine;
import org.ragwortrun.router.internal.limits.PermitSource;
import org.ragwortrun.router.internal.pool.TokenSource;

/**
 * Services that the exchanges of one router share.
 *
 * @param dataCenter data center of this router
 * @param configuration source of the latest configuration
 * @param standstills monitor of the thread that applies configurations
 * @param endpoints endpoints of all origins
 * @param placement chooses among the endpoints that may get a request
 * @param performance what was learned from answers
 * @param filters rules that exclude endpoints from requests
 * @param limits reader of the limits that endpoints name
 * @param permits source of permits for requests to endpoints with a limit
 * @param scheduler queue of the requests that wait for an endpoint
 * @param retries allowance for retries at other endpoints
 * @param tokens source of the tokens of client accounts
 * @param evidence collector of outcomes by version
 * @param quarantine content that is not sent because it may crash endpoints
 * @param partQuarantine parts of prompts that are not sent because they may crash endpoints
 * @param crashDetector detector of crashed endpoints
 * @param headers reader and writer of heads
 * @param metrics counters
 * @param time clock
 * @param loop event loop of all exchanges
 * @param afterReads runs tasks on the loop after it has next polled all connections
 * @param random random numbers from 0 (inclusive) to 1 (exclusive)
 */
record ForwardServices(
        String dataCenter,
        ConfigurationSource configuration,
        StandstillMonitor standstills,
        EndpointTable endpoints,
        EndpointPlacement placement,
        PerformanceTable performance,
        List<EndpointFilter> filters,
        LimitReader limits,
        PermitSource permits,
        RequestScheduler scheduler,
        RetryAllowance retries,
        TokenSource tokens,
        EvidenceCollector evidence,
        ContentQuarantine quarantine,
        PartQuarantine partQuarantine,
        CrashDetector crashDetector,
        RequestHeaders headers,
        Metrics metrics,
        Time time,
        EventLoop loop,
        Executor afterReads,
        DoubleSupplier random) {}
