package amberhoist.lab.run;

import amberhoist.lab.emulator.World;
import amberhoist.lab.emulator.World.Outcome;
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

/** All runs of an experiment: each variant on the same seeds, many at a time, each on one thread. */
public final class Runs {
  /** One run. */
  public record Run(Variant variant, long seed, Outcome outcome) {}

  /**
   * A claim and what came out.
   *
   * @param value the mean over all seeds
   */
  public record Verdict(Claim claim, String variant, double value) {
    /** Whether it holds; a figure that there is none of never does. */
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

  private Runs(Experiment experiment) {
    this.experiment = experiment;
  }

  /** The seeds of an experiment; a count beyond those it names counts on from the last one. */
  public static List<Long> seeds(Experiment experiment, int count) {
    List<Long> seeds = new ArrayList<>();
    for (int i = 0; i < (count > 0 ? count : experiment.seeds().size()); i++) {
      int last = experiment.seeds().size() - 1;
      seeds.add(i <= last ? experiment.seeds().get(i) : (long) experiment.seeds().get(last) + i - last);
    }
    return seeds;
  }

  /** Runs all variants on so many seeds (0 for those that it names), on so many threads. */
  public static Runs run(Experiment experiment, int count, boolean quick, int threads) throws InterruptedException {
    Runs runs = new Runs(experiment);
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    try {
      Map<String, List<Future<Run>>> started = new LinkedHashMap<>();
      for (Variant variant : experiment.variants()) {
        for (long seed : seeds(experiment, count)) {
          Callable<Run> task = () -> new Run(variant, seed, new World(experiment, variant, seed, quick).run());
          started.computeIfAbsent(variant.name(), any -> new ArrayList<>()).add(pool.submit(task));
        }
      }
      for (Map.Entry<String, List<Future<Run>>> each : started.entrySet()) {
        List<Run> done = new ArrayList<>();
        for (Future<Run> run : each.getValue()) {
          done.add(run.get());
        }
        runs.byVariant.put(each.getKey(), done);
      }
    } catch (ExecutionException fault) {
      throw new IllegalStateException("a run failed: " + fault.getCause(), fault.getCause());
    } finally {
      pool.shutdownNow();
    }
    return runs;
  }

  /** What it is of. */
  public Experiment experiment() {
    return experiment;
  }

  /** All runs by variant, in the order of the seeds. */
  public Map<String, List<Run>> byVariant() {
    return byVariant;
  }

  /** The mean of a figure over all seeds, NaN where there is no such figure. */
  public double mean(String variant, String figure) {
    return Arrays.stream(values(variant, figure)).average().orElse(Double.NaN);
  }

  private double[] values(String variant, String figure) {
    return byVariant.get(variant).stream()
        .mapToDouble(run -> run.outcome().figures().getOrDefault(figure, Double.NaN)).toArray();
  }

  /** How much more of a figure one variant has than the other, on the same seeds. */
  public Difference difference(String variant, String other, String figure) {
    return Difference.of(values(variant, figure), values(other, figure));
  }

  /** All claims judged. */
  public List<Verdict> verdicts() {
    List<Verdict> verdicts = new ArrayList<>();
    for (Claim claim : experiment.claims()) {
      for (String variant : claim.variant().isEmpty() ? byVariant.keySet() : List.of(claim.variant())) {
        double value = mean(variant, claim.figure());
        if (!claim.over().isEmpty()) {
          value -= mean(claim.over(), claim.figure());
        }
        verdicts.add(new Verdict(claim, variant, value));
      }
    }
    return verdicts;
  }
}
