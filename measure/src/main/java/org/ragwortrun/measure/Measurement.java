package org.ragwortrun.measure;

import java.util.Map;

/** A measurement that {@code bin/measure} can run by name. */
public interface Measurement {
    /**
     * Runs the measurement.
     *
     * @param seed seed of all random choices
     * @param options additional command-line options by name, such as {@code seconds}
     * @param report receives the figures
     * @throws MeasurementException if the run could not be carried out
     */
    void run(long seed, Map<String, String> options, FigureReport report) throws MeasurementException;
}
