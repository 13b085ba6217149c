package amberhoist.lab;

import amberhoist.lab.slope.LinearFit;
import amberhoist.lab.slope.LinearFit.Point;
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

/** Measures how the cost of parts of the proxy grows with size. */
@Command(name = "slope", description = {
    "Measures the cost of parts of the proxy at several sizes, and prints the points and the line fitted to them."})
final class SlopeCommand implements Callable<Integer> {
  @Spec
  private CommandSpec spec;

  @Parameters(paramLabel = "WHAT", arity = "0..*", description = "any of ${COMPLETION-CANDIDATES}; by default all")
  private List<Measurement> measurements;

  @Option(names = "--repetitions", paramLabel = "N", defaultValue = "7",
      description = "repetitions of each measurement, of which the median is used (default: ${DEFAULT-VALUE})")
  private int repetitions;

  @Override
  public Integer call() {
    if (repetitions < 1) {
      throw new ParameterException(spec.commandLine(), "--repetitions must be at least 1");
    }
    System.out.println("| what | by | points | intercept | slope | interval of 95 % | R2 |");
    System.out.println("| --- | --- | --- | ---: | ---: | ---: | ---: |");
    for (Measurement measurement : measurements == null ? List.of(Measurement.values()) : measurements) {
      print(measurement);
    }
    return 0;
  }

  private void print(Measurement measurement) {
    List<Point> points = new ArrayList<>();
    StringBuilder pointsText = new StringBuilder();
    for (int size : measurement.sizes()) {
      double value = measurement.median(size, repetitions);
      points.add(new Point(size, value));
      pointsText.append(pointsText.isEmpty() ? "" : ", ").append(size).append(": ").append(format(value));
    }
    LinearFit fit = LinearFit.leastSquares(points);
    System.out.printf(Locale.ROOT, "| %s, %s | %s | %s | %s | %s | %s | %.3f |%n",
        measurement.name().toLowerCase(Locale.ROOT), measurement.quantity(), measurement.sizeUnit(), pointsText,
        format(fit.intercept()), format(fit.slope()), format(fit.slopeHalfWidth()), fit.rSquared());
  }

  private static String format(double value) {
    return String.format(Locale.ROOT, "%.4g", value);
  }
}
