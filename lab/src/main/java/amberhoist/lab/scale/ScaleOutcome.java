package amberhoist.lab.scale;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The result of a scale test.
 *
 * @param violations descriptions of the rule violations
 * @param figures figures by the name under which they are printed
 */
public record ScaleOutcome(List<String> violations, Map<String, Number> figures) {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double PERCENT = 100;
  private static final double MICROS_PER_MILLI = 1000;

  static ScaleOutcome of(ScaleSettings settings, ScaleChecker checker, Operators operators,
      int withdrawnChanges, Disturbance faultInjector, List<HollowProxy> proxies,
      List<ControllerMachine> controllers, double durationSeconds, long eventCount) {
    Map<String, Number> figures = new LinkedHashMap<>();
    figures.put("proxies", settings.proxies());
    figures.put("controllers", settings.controllers());
    figures.put("voters", settings.voters());
    figures.put("regions", settings.regions());
    figures.put("zones", settings.zones());
    figures.put("seed", settings.seed());
    figures.put("document_bytes", settings.documentBytes());
    figures.put("changes", operators.ordered());
    figures.put("changes_withdrawn", withdrawnChanges);
    figures.put("restarts", faultInjector.restarts());
    figures.put("machines_lost", faultInjector.lost());
    figures.put("links_cut", faultInjector.cuts());
    figures.put("controller_faults", faultInjector.controllerFaults());
    putDelays(figures, "in_force", checker.waits());
    putDelays(figures, "last_in_force", checker.changeWaits());
    putProxyFigures(figures, proxies, durationSeconds);
    putControllerFigures(figures, controllers, durationSeconds);
    figures.put("not_in_force", checker.notInForce());
    figures.put("rules_broken", checker.violations().size());
    figures.put("events", eventCount);
    return new ScaleOutcome(List.copyOf(checker.violations()), figures);
  }

  private static void putDelays(Map<String, Number> figures, String name, Histogram micros) {
    figures.put(name + "_p50_ms", Math.round(micros.getValueAtPercentile(50) / MICROS_PER_MILLI));
    figures.put(name + "_p99_ms", Math.round(micros.getValueAtPercentile(99) / MICROS_PER_MILLI));
    figures.put(name + "_max_ms", Math.round(micros.getMaxValue() / MICROS_PER_MILLI));
  }

  private static void putProxyFigures(Map<String, Number> figures, List<HollowProxy> proxies, double seconds) {
    double bytes = proxies.stream().mapToLong(HollowProxy::bytes).average().orElse(0) / seconds;
    double maxBytes = proxies.stream().mapToLong(HollowProxy::windowMost).max().orElse(0) / 10.0;
    double cpu = proxies.stream().mapToLong(HollowProxy::nanos).average().orElse(0) / NANOS_PER_SECOND
        / seconds;
    figures.put("bytes_per_second_per_proxy", Math.round(bytes));
    figures.put("bytes_per_second_most", Math.round(maxBytes));
    figures.put("cpu_percent_per_proxy", roundToFourDigits(PERCENT * cpu));
  }

  private static void putControllerFigures(Map<String, Number> figures, List<ControllerMachine> controllers,
      double seconds) {
    long bytes = controllers.stream().mapToLong(ControllerMachine::bytes).max().orElse(0);
    long nanos = controllers.stream().mapToLong(ControllerMachine::nanos).max().orElse(0);
    figures.put("controller_bytes_per_second", Math.round(bytes / seconds));
    figures.put("controller_cpu_percent", roundToFourDigits(PERCENT * nanos / NANOS_PER_SECOND / seconds));
    figures.put("controller_subscribers_most",
        controllers.stream().mapToInt(ControllerMachine::mostSubscribers).max().orElse(0));
  }

  private static double roundToFourDigits(double figure) {
    return Math.round(figure * 1e4) / 1e4;
  }

  /** The figures that are the same in every run of one seed, that is, all but processor times. */
  public Map<String, Number> reproducible() {
    Map<String, Number> same = new LinkedHashMap<>(figures);
    same.keySet().removeIf(name -> name.contains("cpu"));
    return same;
  }
}
