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

  static ScaleOutcome collect(ScaleSettings settings, ScaleChecker checker, OperatorSimulator operators,
      int withdrawnChanges, FaultInjector faultInjector, List<ControlPlaneProxy> proxies,
      List<ControllerMachine> controllers, double durationSeconds, long eventCount) {
    Map<String, Number> figures = new LinkedHashMap<>();
    figures.put("proxies", settings.proxies());
    figures.put("controllers", settings.controllers());
    figures.put("voters", settings.voters());
    figures.put("regions", settings.regions());
    figures.put("zones", settings.zones());
    figures.put("seed", settings.seed());
    figures.put("document_bytes", settings.documentBytes());
    figures.put("changes", operators.requestedCount());
    figures.put("changes_withdrawn", withdrawnChanges);
    figures.put("restarts", faultInjector.proxyRestarts());
    figures.put("machines_lost", faultInjector.failedMachines());
    figures.put("links_cut", faultInjector.isolations());
    figures.put("controller_faults", faultInjector.controllerFaults());
    putDelays(figures, "in_force", checker.proxyDelaysMicros());
    putDelays(figures, "last_in_force", checker.changeDelaysMicros());
    putProxyFigures(figures, proxies, durationSeconds);
    putControllerFigures(figures, controllers, durationSeconds);
    figures.put("not_in_force", checker.lateProxyCount());
    figures.put("rules_broken", checker.violations().size());
    figures.put("events", eventCount);
    return new ScaleOutcome(List.copyOf(checker.violations()), figures);
  }

  private static void putDelays(Map<String, Number> figures, String name, Histogram micros) {
    figures.put(name + "_p50_ms", Math.round(micros.getValueAtPercentile(50) / MICROS_PER_MILLI));
    figures.put(name + "_p99_ms", Math.round(micros.getValueAtPercentile(99) / MICROS_PER_MILLI));
    figures.put(name + "_max_ms", Math.round(micros.getMaxValue() / MICROS_PER_MILLI));
  }

  private static void putProxyFigures(Map<String, Number> figures, List<ControlPlaneProxy> proxies, double seconds) {
    double bytes = proxies.stream().mapToLong(ControlPlaneProxy::totalBytes).average().orElse(0) / seconds;
    double maxBytes = proxies.stream().mapToLong(ControlPlaneProxy::maxWindowBytes).max().orElse(0) / 10.0;
    double cpu = proxies.stream().mapToLong(ControlPlaneProxy::processorNanos).average().orElse(0) / NANOS_PER_SECOND
        / seconds;
    figures.put("bytes_per_second_per_proxy", Math.round(bytes));
    figures.put("bytes_per_second_most", Math.round(maxBytes));
    figures.put("cpu_percent_per_proxy", roundToFourDigits(PERCENT * cpu));
  }

  private static void putControllerFigures(Map<String, Number> figures, List<ControllerMachine> controllers,
      double seconds) {
    long bytes = controllers.stream().mapToLong(ControllerMachine::totalBytes).max().orElse(0);
    long nanos = controllers.stream().mapToLong(ControllerMachine::processorNanos).max().orElse(0);
    figures.put("controller_bytes_per_second", Math.round(bytes / seconds));
    figures.put("controller_cpu_percent", roundToFourDigits(PERCENT * nanos / NANOS_PER_SECOND / seconds));
    figures.put("controller_subscribers_most",
        controllers.stream().mapToInt(ControllerMachine::maxSubscribers).max().orElse(0));
  }

  private static double roundToFourDigits(double figure) {
    return Math.round(figure * 1e4) / 1e4;
  }

  /** The figures that are the same in every run of one seed, that is, all but processor times. */
  public Map<String, Number> reproducibleFigures() {
    Map<String, Number> same = new LinkedHashMap<>(figures);
    same.keySet().removeIf(name -> name.contains("cpu"));
    return same;
  }
}
