package org.ragwortrun.measure.version;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.ragwortrun.measure.MeasurementException;

/** Draws the share of a new version over the time of a move. */
final class MovePlot {
    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 500;
    private static final double PERMILLE_OF_PERCENT = 10.0;

    private final List<Double> minutes = new ArrayList<>();
    private final List<Double> share = new ArrayList<>();
    private final List<Double> faults = new ArrayList<>();
    private double lastShown;

    /** Adds one second. */
    void add(long second, int sharePermille, long shown) {
        minutes.add(second / 60.0);
        share.add(sharePermille / PERMILLE_OF_PERCENT);
        faults.add(shown - lastShown);
        lastShown = shown;
    }

    /** Writes a PNG file. */
    void write(Path file, String title) throws MeasurementException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("minutes since the move began")
                .yAxisTitle("share of traffic in %; requests that met the fault per s")
                .build();
        chart.getStyler().setMarkerSize(0);
        chart.getStyler().setLegendPosition(Styler.LegendPosition.InsideNW);
        chart.addSeries("share of the new version", minutes, share);
        chart.addSeries("requests that met the fault, per second", minutes, faults);
        try {
            BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException e) {
            throw new MeasurementException("cannot write " + file, e);
        }
    }
}
