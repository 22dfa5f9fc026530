package org.ragwortrun.measure.jmh;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.ragwortrun.core.time.Time;
import org.ragwortrun.proto.LoadReport;
import org.ragwortrun.routing.ChoiceRequest;
import org.ragwortrun.routing.EndpointCandidate;
import org.ragwortrun.routing.EndpointChooser;
import org.ragwortrun.routing.LoadAwareChooser;
import org.ragwortrun.routing.OutputForecast;
import org.ragwortrun.routing.TwoChoicesChooser;

/** Measures one choice of endpoint. Run with the gc profiler for the bytes of a choice. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class ChooserBenchmark {
    private static final int SLOTS = 16;
    private static final long SEED = 1;

    @Param({"16", "150", "600"})
    private int endpoints;

    private final SplittableRandom random = new SplittableRandom(SEED);
    private final EndpointChooser loadAware =
            new LoadAwareChooser(random::nextInt, Time.system(), new OutputForecast());
    private final EndpointChooser naive = new TwoChoicesChooser(random::nextInt);
    private List<EndpointCandidate> candidates = List.of();

    /** Builds endpoints of three data centers under mixed load. */
    @Setup
    public void setUp() {
        loadAware.onOutput("chat", "dealer", 200);
        candidates = IntStream.range(0, endpoints)
                .mapToObj(i -> new EndpointCandidate(
                        "assay-" + i,
                        "agent-" + i + "@1",
                        "v1",
                        "coast-" + i % 3,
                        SLOTS,
                        random.nextInt(SLOTS),
                        random.nextInt(3),
                        Optional.of(LoadReport.newBuilder()
                                .setRunning(random.nextInt(SLOTS))
                                .setTokensPerSecond(40)
                                .setKvTokensCapacity(200_000)
                                .setKvTokensUsed(random.nextInt(200_000))
                                .build())))
                .toList();
    }

    @Benchmark
    public Optional<EndpointCandidate> withPrefix() {
        return loadAware.choose(request(1 + random.nextInt(1_000)), candidates);
    }

    @Benchmark
    public Optional<EndpointCandidate> withoutPrefix() {
        return loadAware.choose(request(0), candidates);
    }

    @Benchmark
    public Optional<EndpointCandidate> twoChoices() {
        return naive.choose(request(0), candidates);
    }

    private static ChoiceRequest request(long prefix) {
        return new ChoiceRequest("dealer", "chat", "coast-0", 5, 2_000, 1_000, prefix);
    }
}
