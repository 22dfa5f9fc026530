package org.ragwortrun.router.internal.forward;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.router.internal.evidence.EvidenceCollector;
import org.ragwortrun.router.internal.pool.TokenSource;

/**
 * What exchanges of one router share.
 *
 * @param dataCenter data center of this router
 * @param configuration newest configuration, if one is known
 * @param endpoints endpoints of all origins
 * @param retries allowance for second endpoints
 * @param tokens tokens of client accounts
 * @param evidence outcomes by version
 * @param suspects content that may not be sent
 * @param crashes detector of crashed endpoints
 * @param heads reader and writer of heads
 * @param metrics counters
 * @param time clock
 * @param loop the thread of all exchanges
 * @param afterReads runs steps on it after the next look at all connections
 * @param random numbers from 0 to below 1
 */
record ForwardServices(
        String dataCenter,
        Supplier<Optional<Configuration>> configuration,
        EndpointTable endpoints,
        RetryAllowance retries,
        TokenSource tokens,
        EvidenceCollector evidence,
        CrashSuspects suspects,
        CrashDetector crashes,
        RequestHeads heads,
        Metrics metrics,
        Time time,
        EventLoop loop,
        Executor afterReads,
        DoubleSupplier random) {}
