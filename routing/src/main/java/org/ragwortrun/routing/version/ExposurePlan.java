package org.ragwortrun.routing.version;

import java.util.ArrayList;
import java.util.List;

/** Steps by which the share of a new version rises, and the evidence that each step needs. */
final class ExposurePlan {
    // Requests of the new version that a step asks for while time is plentiful. 40 requests without a failure leave
    // a version that fails one request in ten a chance of 1.5 %.
    private static final long WANTED_REQUESTS = 40;
    private static final long SHORTEST_STEP_MS = 10_000;
    // A step of a move whose whole time is short.
    private static final double SHORTEST_STEP_PART = 0.2;
    private static final int[] RISE = {250, 500};
    // The trial needs most of the time when traffic is low; a twentieth is kept as slack before the finish.
    private static final double PROBE_PART = 0.03;
    private static final double TRIAL_PART = 0.7;
    private static final double RISE_PART = 0.2;

    private final List<Step> steps = new ArrayList<>();

    ExposurePlan(int trialPermille, int targetPermille) {
        int trial = Math.min(trialPermille, targetPermille);
        // The probe keeps a version that fails at once from more than a quarter of the trial share.
        steps.add(new Step(Math.max(1, trial / 4), PROBE_PART, 0));
        // Fewest requests of a trial under time pressure: at a tenth of the trial's wanted evidence.
        steps.add(new Step(trial, TRIAL_PART, 4));
        List<Integer> rise = new ArrayList<>();
        for (int share : RISE) {
            if (share > trial && share < targetPermille) {
                rise.add(share);
            }
        }
        rise.forEach(share -> steps.add(new Step(share, RISE_PART / rise.size(), 2)));
        if (targetPermille > trial) {
            steps.add(new Step(targetPermille, 0, 0));
        }
    }

    int share(int step) {
        return steps.get(step).share();
    }

    int last() {
        return steps.size() - 1;
    }

    /**
     * Returns whether the next step may be taken.
     *
     * @param step current step
     * @param requests requests of the new version since the step began
     * @param stepMs time since the step began
     * @param moveMs time since the move began
     * @param durationMs time that the move may take
     */
    boolean mayRise(int step, long requests, long stepMs, long moveMs, long durationMs) {
        if (stepMs < Math.min(SHORTEST_STEP_MS, SHORTEST_STEP_PART * durationMs)) {
            return false;
        }
        double allotted = 0;
        for (int i = 0; i <= step; i++) {
            allotted += steps.get(i).part();
        }
        boolean pressed = moveMs > allotted * durationMs;
        return requests >= (pressed ? steps.get(step).leastRequests() : WANTED_REQUESTS);
    }

    private record Step(int share, double part, long leastRequests) {}
}
