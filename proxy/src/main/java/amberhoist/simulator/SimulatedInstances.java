package amberhoist.simulator;

import amberhoist.decide.Balancer;
import amberhoist.decide.Policy;
import com.fasterxml.jackson.core.JsonGenerator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The instances of the decision module that a simulator drives, by number. Instances share no state. */
final class SimulatedInstances {
  /**
   * One instance. Its balancer is null unless the instance is running; its commands are those of the current batch.
   */
  static final class Instance {
    final SimulatorCommands commands;
    Balancer balancer;
    private int utilizationField = -1;

    private Instance(SimulatorCommands commands) {
      this.commands = commands;
    }

    void start(long now, Balancer.Settings settings, int newUtilizationField, long seed) {
      utilizationField = newUtilizationField;
      balancer = new Policy();
      balancer.start(now, settings, seed, commands);
    }

    /** Passes the utilization in a load report to the balancer; a report without it is ignored. */
    void onLoadReport(long now, String server, List<Double> reportFields) {
      if (utilizationField >= 0 && utilizationField < reportFields.size()) {
        balancer.onLoadReport(now, server, reportFields.get(utilizationField));
      }
    }

    void stop() {
      balancer = null;
    }
  }

  private final Map<Integer, Instance> instancesByNumber = new LinkedHashMap<>();

  /** Returns the instance with this number. If there is none, creates one that writes its commands to {@code out}. */
  Instance getOrCreate(int number, JsonGenerator out) {
    return instancesByNumber.computeIfAbsent(number, n -> new Instance(new SimulatorCommands(out, n)));
  }
}
