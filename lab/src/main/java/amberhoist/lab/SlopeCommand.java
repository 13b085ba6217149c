package amberhoist.lab;

import amberhoist.lab.slope.Fit;
import amberhoist.lab.slope.Fit.Point;
import amberhoist.lab.slope.Measurement;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What parts of the program cost by size. */
@Command(name = "slope", description = {
    "Measures what parts of the program cost at several sizes, and prints the points and the line through them."})
final class SlopeCommand implements Callable<Integer> {
  @Spec
  private CommandSpec spec;

  @Parameters(paramLabel = "WHAT", arity = "0..*", description = "${COMPLETION-CANDIDATES}; all of them by default")
  private List<Measurement> measurements;

  @Option(names = "--repetitions", paramLabel = "N", defaultValue = "7",
      description = "of which the median counts (default: ${DEFAULT-VALUE})")
  private int repetitions;

  @Override
  public Integer call() {
    if (repetitions < 1) {
      throw new ParameterException(spec.commandLine(), "--repetitions must be at least 1");
    }
    System.out.println("| what | by | points | intercept | slope | interval of 95 % | R2 |");
    System.out.println("| --- | --- | --- | ---: | ---: | ---: | ---: |");
    for (Measurement each : measurements == null ? List.of(Measurement.values()) : measurements) {
      print(each);
    }
    return 0;
  }

  private void print(Measurement measurement) {
    List<Point> points = new ArrayList<>();
    StringBuilder told = new StringBuilder();
    for (int size : measurement.sizes()) {
      double value = measurement.median(size, repetitions);
      points.add(new Point(size, value));
      told.append(told.isEmpty() ? "" : ", ").append(size).append(": ").append(figure(value));
    }
    Fit fit = Fit.through(points);
    System.out.printf(Locale.ROOT, "| %s, %s | %s | %s | %s | %s | %s | %.3f |%n",
        measurement.name().toLowerCase(Locale.ROOT), measurement.value(), measurement.unit(), told,
        figure(fit.intercept()), figure(fit.slope()), figure(fit.halfWidth()), fit.explained());
  }

  private static String figure(double value) {
    return String.format(Locale.ROOT, "%.4g", value);
  }
}
