package amberhoist.lab.emulator;

import amberhoist.lab.experiment.Experiment;
import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Collects the figures of one run. Service and the counts of clients leave out the experiment's warm-up; service in
 * each second, violations, attempts and the counts of proxies and providers include it.
 */
public final class Figures {
  private static final long MAX_SETUP_MICROS = 600_000_000;

  private final Simulation simulation;
  private final Experiment experiment;
  private final double[] wantedByClass;
  private final double[] inTimeByClass;
  private final double[] wantedByTenant;
  private final double[] inTimeByTenant;
  private final Histogram[] setupsByClass;
  private final double[] inTimeBySecond;
  private final double[] wantedBySecond;
  private final Histogram allSetups = new Histogram(MAX_SETUP_MICROS, 3);
  private long askedCount;
  private long servedCount;
  private long rejectedCount;
  private long cutOffCount;
  private long movedCount;
  long movesByProxies; // MOVE sent by proxies
  long droppedByProviders; // connections dropped by overloaded providers
  double coldPeak; // max attempts at a cold provider within its window, over the checker's bound

  Figures(Simulation simulation, int seconds) {
    this.simulation = simulation;
    experiment = simulation.experiment;
    wantedByClass = new double[experiment.classes().size()];
    inTimeByClass = new double[experiment.classes().size()];
    wantedByTenant = new double[experiment.tenants().size()];
    inTimeByTenant = new double[experiment.tenants().size()];
    setupsByClass = new Histogram[experiment.classes().size()];
    for (int i = 0; i < setupsByClass.length; i++) {
      setupsByClass[i] = new Histogram(MAX_SETUP_MICROS, 3);
    }
    inTimeBySecond = new double[seconds + 1];
    wantedBySecond = new double[seconds + 1];
  }

  private boolean isMeasuring() {
    return simulation.time.now() >= simulation.warmupEnd();
  }

  private int secondIndex(long time) {
    return (int) Math.min(inTimeBySecond.length - 1, Math.max(0, (time - Simulation.START_MICROS) / 1_000_000));
  }

  /** Adds the value of a connection that a client wanted between these times. */
  void addWanted(EmulatedClient client, long from, long until) {
    long measured = Math.max(0, until - Math.max(from, simulation.warmupEnd()));
    double value = client.value() * measured / 1e6;
    wantedByClass[client.typeIndex] += value;
    wantedByTenant[client.tenantIndex] += value;
    for (int second = secondIndex(from); second <= secondIndex(until); second++) {
      long start = Simulation.START_MICROS + second * 1_000_000L;
      double overlap = Math.min(until, start + 1_000_000) - Math.max(from, start);
      wantedBySecond[second] += client.value() * Math.max(0, overlap) / 1e6;
    }
  }

  /** Adds a message that was answered in time; it counts as service until the client's next message. */
  void addServed(EmulatedClient client) {
    double value = client.value() * simulation.messageIntervalMicros() / 1e6;
    inTimeBySecond[secondIndex(simulation.time.now())] += value;
    if (isMeasuring()) {
      inTimeByClass[client.typeIndex] += value;
      inTimeByTenant[client.tenantIndex] += value;
    }
  }

  /** Counts a client's connect. */
  void countRequest() {
    askedCount += isMeasuring() ? 1 : 0;
  }

  /** Counts a rejection or failure received by a client. */
  void countRejection() {
    rejectedCount += isMeasuring() ? 1 : 0;
  }

  /** Counts an established connection and its setup time in microseconds. */
  void countSetup(EmulatedClient client, long setupMicros) {
    if (isMeasuring()) {
      servedCount++;
      allSetups.recordValue(Math.min(MAX_SETUP_MICROS, setupMicros));
      setupsByClass[client.typeIndex].recordValue(Math.min(MAX_SETUP_MICROS, setupMicros));
    }
  }

  /** Counts the end of a client's connection, by MOVE or otherwise. */
  void countEnd(boolean moved) {
    if (isMeasuring()) {
      if (moved) {
        movedCount++;
      } else {
        cutOffCount++;
      }
    }
  }

  private static double ratio(double inTime, double wanted) {
    return wanted > 0 ? inTime / wanted : 1;
  }

  private static double sum(double[] values) {
    double sum = 0;
    for (double value : values) {
      sum += value;
    }
    return sum;
  }

  /** Service in each second: value answered in time over value wanted; 1 where nothing was wanted. */
  public double[] serviceBySecond() {
    double[] service = new double[inTimeBySecond.length];
    for (int i = 0; i < service.length; i++) {
      service[i] = ratio(inTimeBySecond[i], wantedBySecond[i]);
    }
    return service;
  }

  /** All figures by name, in the order of reports. */
  Map<String, Double> byName(ProtocolChecker checker, long attempts) {
    Map<String, Double> all = new LinkedHashMap<>();
    all.put("service", ratio(sum(inTimeByClass), sum(wantedByClass)));
    for (int i = 0; i < wantedByClass.length; i++) {
      all.put("service." + experiment.classes().get(i).name(), ratio(inTimeByClass[i], wantedByClass[i]));
    }
    for (int i = 0; i < wantedByTenant.length; i++) {
      all.put("tenant." + experiment.tenants().get(i).name(), ratio(inTimeByTenant[i], wantedByTenant[i]));
    }
    all.put("violations", (double) checker.violationCount());
    all.put("asked", (double) askedCount);
    all.put("served", (double) servedCount);
    all.put("rejected", (double) rejectedCount);
    all.put("cut_off", (double) cutOffCount);
    all.put("moved", (double) movedCount);
    all.put("moves_by_proxies", (double) movesByProxies);
    all.put("dropped_by_providers", (double) droppedByProviders);
    all.put("calls", (double) attempts);
    all.put("calls_per_invocation", askedCount == 0 ? 0 : (double) attempts / Math.max(1, simulation.invocations()));
    all.put("cold_peak", coldPeak);
    all.put("setup_p50_ms", allSetups.getValueAtPercentile(50) / 1000.0);
    all.put("setup_p99_ms", allSetups.getValueAtPercentile(99) / 1000.0);
    for (int i = 0; i < setupsByClass.length; i++) {
      all.put("setup_p99_ms." + experiment.classes().get(i).name(), setupsByClass[i].getValueAtPercentile(99) / 1000.0);
    }
    return all;
  }
}
