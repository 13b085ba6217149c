package amberhoist.lab.run;

import amberhoist.lab.emulator.Simulation;
import amberhoist.lab.emulator.Simulation.RunResult;
import amberhoist.lab.experiment.Experiment;
import amberhoist.lab.experiment.Experiment.Claim;
import amberhoist.lab.experiment.Experiment.Variant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** All runs of an experiment: each variant on the same seeds, in parallel, with one thread for each run. */
public final class ExperimentRuns {
  /** One run of a variant with one seed. */
  public record Run(Variant variant, long seed, RunResult result) {}

  /**
   * A claim about one variant and its result.
   *
   * @param value the claimed figure, as the mean over all seeds; NaN if there is no such figure
   */
  public record ClaimResult(Claim claim, String variant, double value) {
    /** Whether the value is within the claim's bounds; false if there is no such figure. */
    public boolean holds() {
      return value >= claim.least() && value <= claim.most();
    }

    @Override
    public String toString() {
      String over = claim.over().isEmpty() ? "" : " over " + claim.over();
      return String.format("%s %s: %s%s = %.4f, claimed %s to %s", holds() ? "holds" : "FALLS", variant,
          claim.figure(), over, value, claim.least(), claim.most());
    }
  }

  private final Experiment experiment;
  private final Map<String, List<Run>> byVariant = new LinkedHashMap<>();

  private ExperimentRuns(Experiment experiment) {
    this.experiment = experiment;
  }

  /**
   * The first seeds of an experiment, continued upwards from its last one where it has too few.
   *
   * @param seedCount number of seeds; 0 for those of the experiment
   */
  public static List<Long> seeds(Experiment experiment, int seedCount) {
    List<Long> seeds = new ArrayList<>();
    for (int i = 0; i < (seedCount > 0 ? seedCount : experiment.seeds().size()); i++) {
      int last = experiment.seeds().size() - 1;
      seeds.add(i <= last ? experiment.seeds().get(i) : (long) experiment.seeds().get(last) + i - last);
    }
    return seeds;
  }

  /**
   * Runs all variants on the same seeds.
   *
   * @param seedCount number of seeds; 0 for those of the experiment
   * @param quick whether to use the experiment's short length
   * @param threadCount number of parallel runs
   * @throws IllegalStateException if a run throws an exception
   */
  public static ExperimentRuns run(Experiment experiment, int seedCount, boolean quick, int threadCount)
      throws InterruptedException {
    ExperimentRuns runs = new ExperimentRuns(experiment);
    ExecutorService pool = Executors.newFixedThreadPool(threadCount);
    try {
      Map<String, List<Future<Run>>> runsByVariant = new LinkedHashMap<>();
      for (Variant variant : experiment.variants()) {
        for (long seed : seeds(experiment, seedCount)) {
          Callable<Run> task = () -> new Run(variant, seed, new Simulation(experiment, variant, seed, quick).run());
          runsByVariant.computeIfAbsent(variant.name(), any -> new ArrayList<>()).add(pool.submit(task));
        }
      }
      for (Map.Entry<String, List<Future<Run>>> entry : runsByVariant.entrySet()) {
        List<Run> finished = new ArrayList<>();
        for (Future<Run> run : entry.getValue()) {
          finished.add(run.get());
        }
        runs.byVariant.put(entry.getKey(), finished);
      }
    } catch (ExecutionException failure) {
      throw new IllegalStateException("a run failed: " + failure.getCause(), failure.getCause());
    } finally {
      pool.shutdownNow();
    }
    return runs;
  }

  /** The experiment that was run. */
  public Experiment experiment() {
    return experiment;
  }

  /** All runs by variant, in the order of the experiment's variants and of the seeds. */
  public Map<String, List<Run>> byVariant() {
    return byVariant;
  }

  /** The mean of a figure over all seeds; NaN if there is no such figure. */
  public double mean(String variant, String figure) {
    return Arrays.stream(valuesBySeed(variant, figure)).average().orElse(Double.NaN);
  }

  private double[] valuesBySeed(String variant, String figure) {
    return byVariant.get(variant).stream()
        .mapToDouble(run -> run.result().figures().getOrDefault(figure, Double.NaN)).toArray();
  }

  /** The difference of a figure between two variants on the same seeds, the first minus the other. */
  public PairedDifference difference(String variant, String other, String figure) {
    return PairedDifference.of(valuesBySeed(variant, figure), valuesBySeed(other, figure));
  }

  /** The results of all claims; a claim without a variant is evaluated for each of them. */
  public List<ClaimResult> claimResults() {
    List<ClaimResult> results = new ArrayList<>();
    for (Claim claim : experiment.claims()) {
      for (String variant : claim.variant().isEmpty() ? byVariant.keySet() : List.of(claim.variant())) {
        double value = mean(variant, claim.figure());
        if (!claim.over().isEmpty()) {
          value -= mean(claim.over(), claim.figure());
        }
        results.add(new ClaimResult(claim, variant, value));
      }
    }
    return results;
  }
}
