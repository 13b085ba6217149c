package amberhoist.simulator;

import amberhoist.decide.Balancer;
import amberhoist.decide.Policy;
import com.fasterxml.jackson.core.JsonGenerator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Hosts one balancer for each instance number; the instances share nothing. */
final class Session {
  /** One instance: its balancer while it runs, and the commands it gave in this batch. */
  static final class Instance {
    final Commands commands;
    Balancer balancer;
    private int reportField = -1;

    private Instance(Commands commands) {
      this.commands = commands;
    }

    void start(long now, Balancer.Settings settings, int itsReportField, long seed) {
      reportField = itsReportField;
      balancer = new Policy();
      balancer.start(now, settings, seed, commands);
    }

    /** What a probe brought; without a report it is as if it had not been asked. */
    void report(long now, String server, List<Double> fields) {
      if (reportField >= 0 && reportField < fields.size()) {
        balancer.onLoadReport(now, server, fields.get(reportField));
      }
    }

    void stop() {
      balancer = null;
    }
  }

  private final Map<Integer, Instance> instances = new LinkedHashMap<>();

  /** The instance of this number; one seen for the first time writes its commands to {@code out}. */
  Instance instance(int number, JsonGenerator out) {
    return instances.computeIfAbsent(number, n -> new Instance(new Commands(out, n)));
  }
}
