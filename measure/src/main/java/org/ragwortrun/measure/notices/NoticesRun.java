package org.ragwortrun.measure.notices;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.ragwortrun.measure.budgets.EventQueue;
import org.ragwortrun.routing.EndpointNotices;

/** Plays one trouble in virtual time, with routers that heed what endpoints say or do not. */
final class NoticesRun {
    private static final int ENDPOINTS = 12;
    private static final int ROUTERS = 7;
    private static final double LOAD = 0.4;
    private static final long LENGTH_MICROS = 15_000_000;
    private static final long WAY_MICROS = 500;
    private static final int MOST_TRIES = 4;
    private static final double REPEATS_RATIO = 0.2;
    private static final int REPEATS_SLACK = 7;
    private static final long RETRY_AFTER_MICROS = 400_000;
    private static final long PATIENCE_MICROS = 1_000_000;
    // What was on its way when an endpoint spoke does not count as sent against it.
    private static final long GRACE_MICROS = 500_000;

    private final EventQueue events = new EventQueue();
    private final UniformRandomProvider random;
    private final boolean heeds;
    private final List<ModelEndpoint> endpoints = new ArrayList<>();
    private final List<Router> routers = new ArrayList<>();
    private final Histogram waits = new Histogram(3);
    private long asked;
    private long served;
    private long refused;
    private long againstNotice;

    NoticesRun(Trouble trouble, boolean heeds, long seed) {
        this.heeds = heeds;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(new ModelEndpoint(events, random, trouble, i));
        }
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(new Router());
        }
    }

    /** Plays the run to its end. */
    NoticesRun play() {
        arrive();
        events.runUntil(2 * LENGTH_MICROS);
        return this;
    }

    long asked() {
        return asked;
    }

    double servedShare() {
        return (double) served / asked;
    }

    double refusedShare() {
        return (double) refused / asked;
    }

    /** Returns how long served callers waited, in milliseconds, at a percentile. */
    double waitMs(double percentile) {
        return waits.getValueAtPercentile(percentile) / 1_000.0;
    }

    /** Returns the requests that reached an endpoint later than half a second after it had said that it wants none. */
    long againstNotice() {
        return againstNotice;
    }

    private void arrive() {
        if (events.micros() >= LENGTH_MICROS) {
            return;
        }
        asked++;
        routers.get(random.nextInt(ROUTERS)).begin(new Call(events.micros()));
        double meanMicros = ModelEndpoint.WORK_MICROS / (LOAD * ENDPOINTS * ModelEndpoint.SLOTS);
        events.after((long) (-Math.log(1 - random.nextDouble()) * meanMicros), this::arrive);
    }

    private static final class Call {
        private final long began;
        private final Set<Integer> tried = new HashSet<>();
        private boolean cameBack;

        Call(long began) {
            this.began = began;
        }
    }

    private final class Router {
        private final EndpointNotices[] notices = new EndpointNotices[ENDPOINTS];
        private final int[] inFlight = new int[ENDPOINTS];
        private final long[] saidNothingUntil = new long[ENDPOINTS];
        private final long[] spokeAt = new long[ENDPOINTS];
        private long requests;
        private long repeats;

        Router() {
            for (int i = 0; i < ENDPOINTS; i++) {
                notices[i] = new EndpointNotices(Duration.ofMinutes(5));
            }
        }

        void begin(Call call) {
            requests++;
            call.tried.clear();
            place(call);
        }

        private void place(Call call) {
            long now = events.nanos();
            int best = -1;
            long earliest = Long.MAX_VALUE;
            int offset = random.nextInt(ENDPOINTS);
            for (int k = 0; k < ENDPOINTS; k++) {
                int e = (k + offset) % ENDPOINTS;
                OptionalLong from = heeds ? notices[e].earliestSendTime(now, inFlight[e]) : OptionalLong.of(now);
                if (call.tried.contains(e) || from.isEmpty()) {
                    continue;
                }
                if (from.getAsLong() > now) {
                    earliest = Math.min(earliest, from.getAsLong());
                } else if (best < 0 || inFlight[e] < inFlight[best]) {
                    best = e;
                }
            }
            if (best < 0 || call.tried.size() >= MOST_TRIES) {
                refuse(call, earliest == Long.MAX_VALUE ? RETRY_AFTER_MICROS : (earliest - now) / 1_000);
            } else {
                send(call, best);
            }
        }

        private void send(Call call, int e) {
            call.tried.add(e);
            inFlight[e]++;
            events.after(WAY_MICROS, () -> {
                boolean spoke = spokeAt[e] > 0 && events.micros() - spokeAt[e] > GRACE_MICROS;
                if (spoke && events.micros() < saidNothingUntil[e]) {
                    againstNotice++;
                }
                endpoints.get(e).request(answers(call, e));
            });
        }

        private ModelEndpoint.Caller answers(Call call, int e) {
            return new ModelEndpoint.Caller() {
                @Override
                public void served() {
                    ended(() -> {
                        served++;
                        waits.recordValue(events.micros() - call.began);
                    });
                }

                @Override
                public void turnedAway() {
                    ended(() -> goOn(call, true));
                }

                @Override
                public void unreachable() {
                    ended(() -> goOn(call, false));
                }

                @Override
                public void asksFor(Duration time) {
                    spoke(events.micros() + time.toNanos() / 1_000);
                    events.after(WAY_MICROS, () -> notices[e].onPause(time, events.nanos(), random.nextDouble()));
                }

                @Override
                public void saysLeaving() {
                    spoke(Long.MAX_VALUE);
                    events.after(WAY_MICROS, () -> notices[e].onLeaving());
                }

                private void spoke(long until) {
                    if (spokeAt[e] == 0) {
                        spokeAt[e] = events.micros();
                    }
                    saidNothingUntil[e] = until;
                }

                private void ended(Runnable then) {
                    events.after(WAY_MICROS, () -> {
                        inFlight[e]--;
                        then.run();
                    });
                }
            };
        }

        private void goOn(Call call, boolean arrived) {
            if (arrived && repeats + 1 > REPEATS_RATIO * requests + REPEATS_SLACK) {
                refuse(call, RETRY_AFTER_MICROS);
                return;
            }
            repeats += arrived ? 1 : 0;
            place(call);
        }

        private void refuse(Call call, long retryAfter) {
            if (call.cameBack || retryAfter > PATIENCE_MICROS) {
                refused++;
            } else {
                call.cameBack = true;
                events.after(
                        retryAfter, () -> routers.get(random.nextInt(ROUTERS)).begin(call));
            }
        }
    }
}
