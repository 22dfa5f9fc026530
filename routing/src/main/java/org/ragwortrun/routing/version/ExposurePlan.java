package org.ragwortrun.routing.version;

import java.util.ArrayList;
import java.util.List;

/** Steps by which the share of a new version increases, and the number of requests that each step needs. */
final class ExposurePlan {
    // Requests of the new version that a step needs while the move is on schedule. A version that fails one request in
    // ten passes 40 requests without a failure with a probability of 1.5 %.
    private static final long TARGET_REQUESTS = 40;
    private static final long MIN_STEP_MS = 10_000;
    // Minimum length of a step as a fraction of the duration, for moves too short for the minimum above.
    private static final double MIN_STEP_FRACTION = 0.2;
    private static final int[] INTERMEDIATE_PERMILLES = {250, 500};
    // With low traffic the trial needs most of the time. The fractions leave 7 % as slack before the finish.
    private static final double PROBE_FRACTION = 0.03;
    private static final double TRIAL_FRACTION = 0.7;
    private static final double INTERMEDIATE_FRACTION = 0.2;

    private final List<Step> steps = new ArrayList<>();

    ExposurePlan(int trialPermille, int targetPermille) {
        int trial = Math.min(trialPermille, targetPermille);
        // The probe limits a version that fails at once to a quarter of the trial share.
        steps.add(new Step(Math.max(1, trial / 4), PROBE_FRACTION, 0));
        // Behind schedule, a trial needs only a tenth of its target number of requests.
        steps.add(new Step(trial, TRIAL_FRACTION, 4));
        List<Integer> intermediate = new ArrayList<>();
        for (int share : INTERMEDIATE_PERMILLES) {
            if (share > trial && share < targetPermille) {
                intermediate.add(share);
            }
        }
        intermediate.forEach(share -> steps.add(new Step(share, INTERMEDIATE_FRACTION / intermediate.size(), 2)));
        if (targetPermille > trial) {
            steps.add(new Step(targetPermille, 0, 0));
        }
    }

    int share(int step) {
        return steps.get(step).share();
    }

    int lastStep() {
        return steps.size() - 1;
    }

    /**
     * Returns whether the move may advance to the next step.
     *
     * @param step current step
     * @param requests requests of the new version since the step began
     * @param stepMs time since the step began
     * @param moveMs time since the move began
     * @param durationMs time between the start and the finish of the move
     */
    boolean mayAdvance(int step, long requests, long stepMs, long moveMs, long durationMs) {
        if (stepMs < Math.min(MIN_STEP_MS, MIN_STEP_FRACTION * durationMs)) {
            return false;
        }
        double allotted = 0;
        for (int i = 0; i <= step; i++) {
            allotted += steps.get(i).timeFraction();
        }
        boolean behindSchedule = moveMs > allotted * durationMs;
        return requests >= (behindSchedule ? steps.get(step).minRequests() : TARGET_REQUESTS);
    }

    private record Step(int share, double timeFraction, long minRequests) {}
}
