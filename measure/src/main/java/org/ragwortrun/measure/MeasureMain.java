package org.ragwortrun.measure;

import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Runs one measurement by name. Exits with 0 only if every bound holds. */
public final class MeasureMain {
    private static final int EXIT_BOUND_MISSED = 1;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_FAILED = 3;

    private MeasureMain() {}

    public static void main(String[] args) {
        System.exit(run(args));
    }

    private static int run(String[] args) {
        Map<String, Measurement> measurements = Measurements.all();
        Options options = new Options()
                .addOption(Option.builder().longOpt("seed").hasArg().get())
                .addOption(Option.builder().longOpt("seconds").hasArg().get())
                .addOption(Option.builder().longOpt("busy").hasArg().get())
                .addOption(Option.builder().longOpt("plot").hasArg().get());
        CommandLine line;
        long seed;
        try {
            line = new DefaultParser().parse(options, args);
            seed = Long.parseLong(line.getOptionValue("seed", "1"));
        } catch (ParseException | NumberFormatException e) {
            System.err.println("event=usage message=\"" + e.getMessage() + "\"");
            return EXIT_USAGE;
        }
        Measurement measurement = line.getArgList().size() == 1
                ? measurements.get(line.getArgList().get(0))
                : null;
        if (measurement == null) {
            System.err.println("usage: measure NAME --seed N [--seconds S] [--busy N] [--plot FILE], with NAME one of "
                    + String.join(", ", measurements.keySet()));
            return EXIT_USAGE;
        }
        Map<String, String> optionValues = new TreeMap<>();
        for (Option o : line.getOptions()) {
            optionValues.put(o.getLongOpt(), o.getValue());
        }
        FigureReport report = new FigureReport(System.out, seed);
        try {
            measurement.run(seed, optionValues, report);
        } catch (MeasurementException e) {
            System.err.println("event=measurement-failed message=\"" + e.getMessage() + "\"");
            e.printStackTrace();
            return EXIT_FAILED;
        }
        return report.finish() ? 0 : EXIT_BOUND_MISSED;
    }
}
