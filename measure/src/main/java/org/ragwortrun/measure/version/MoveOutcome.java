package org.ragwortrun.measure.version;

/**
 * What became of one generated move.
 *
 * @param doneInTime whether the target share was reached by the finish time
 * @param takenBack whether the version was taken back before the watch ended
 * @param shown requests that met the fault
 * @param received requests that the new version received
 * @param total requests of the service until the end of the move or of the new version
 * @param detectionSeconds time from the first request that met the fault to the verdict
 * @param reason reason of the verdict
 */
record MoveOutcome(
        boolean doneInTime,
        boolean takenBack,
        long shown,
        long received,
        long total,
        double detectionSeconds,
        String reason) {}
