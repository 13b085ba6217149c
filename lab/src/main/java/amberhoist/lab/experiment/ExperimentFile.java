package amberhoist.lab.experiment;

import amberhoist.config.Setup;
import amberhoist.config.Setup.Reading;
import amberhoist.config.Setup.Sources;
import amberhoist.config.schema.Problem;
import amberhoist.config.schema.Schema;
import amberhoist.config.schema.TomlSource;
import amberhoist.config.schema.Written;
import amberhoist.lab.experiment.Experiment.Claim;
import amberhoist.lab.experiment.Experiment.Variant;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads experiments, with the same checks as the operator's file. */
public final class ExperimentFile {
  /** All keys of an experiment. */
  public static final Schema<Experiment> SCHEMA = new Schema<>(Experiment.class, Experiment.DEFAULT);

  private ExperimentFile() {}

  /** Reads files for a command; all that is wrong with any of them is told, and the list is then empty. */
  public static List<Experiment> readOrTell(List<Path> files, PrintStream err) {
    List<Problem> problems = new ArrayList<>();
    List<Experiment> experiments = files.stream().map(file -> read(file, problems)).toList();
    problems.forEach(err::println);
    return problems.isEmpty() ? experiments : List.of(); // nothing runs beside a bad file
  }

  /** Reads a file; what is wrong with it is added to the problems, and the experiment is then of no use. */
  public static Experiment read(Path file, List<Problem> problems) {
    Map<String, Object> values = new LinkedHashMap<>();
    Map<String, Written> written = TomlSource.read(SCHEMA, file, problems);
    written.forEach((path, value) -> {
      try {
        values.put(path, SCHEMA.check(path, value));
      } catch (IllegalArgumentException fault) {
        problems.add(new Problem(value.where(), path, fault.getMessage()));
      }
    });
    Experiment experiment = SCHEMA.bind(values);
    contradictions(experiment).forEach((path, message) -> {
      Written at = written.get(path);
      problems.add(new Problem(at == null ? file.toString() : at.where(), path, message));
    });
    return experiment;
  }

  private static Map<String, String> contradictions(Experiment it) {
    Map<String, String> found = new LinkedHashMap<>();
    if (it.warmup().compareTo(it.length()) >= 0) {
      found.put("warmup", "is not shorter than length");
    }
    if (!it.quick().isZero() && it.warmup().compareTo(it.quick()) >= 0) {
      found.put("quick", "is not longer than warmup");
    }
    if (it.fleet().zones().isEmpty()) {
      found.put("fleet.zones", "names no zone");
    }
    if (it.seeds().isEmpty()) {
      found.put("seeds", "names no seed");
    }
    if (it.clients().rejoinLeast().compareTo(it.clients().rejoinMost()) > 0) {
      found.put("clients.rejoin_least", "is longer than clients.rejoin_most");
    }
    if (it.directory().lateLeast().compareTo(it.directory().lateMost()) > 0) {
      found.put("directory.late_least", "is longer than directory.late_most");
    }
    if (it.clients().honour() + it.clients().atOnce() > 1) {
      found.put("clients.at_once", "and clients.honour are more than all clients together");
    }
    Set<String> names = new HashSet<>();
    for (int i = 0; i < it.variants().size(); i++) {
      Variant variant = it.variants().get(i);
      if (!names.add(variant.name())) {
        found.put("variants." + i + ".name", "is used twice: " + variant.name());
      }
      for (Problem problem : keys(variant).problems()) {
        found.put("variants." + i + ".set", problem.key() + ": " + problem.message());
      }
    }
    for (int i = 0; i < it.claims().size(); i++) {
      Claim claim = it.claims().get(i);
      for (String variant : List.of(claim.variant(), claim.over())) {
        if (!variant.isEmpty() && !names.contains(variant)) {
          found.put("claims." + i + ".variant", "names no variant: " + variant);
        }
      }
      if (claim.least() > claim.most()) {
        found.put("claims." + i + ".least", "is more than most");
      }
    }
    return found;
  }

  /** The reference page of experiments. */
  public static String page() {
    return """
        # Experiments

        Made by `bin/amberhoist lab reference`; a test fails when it is stale.

        An experiment is a TOML file, such as those under `lab/experiments/`; `bin/amberhoist lab run FILE...` runs it.
        Units stand in the value, as in the operator's file. An array such as `[[classes]]` that is missing has one
        element with the defaults below.

        ## Top
        """ + SCHEMA.reference().replace("| SIGHUP |", "| |");
  }

  /** The operator's keys as a variant has them. */
  public static Reading keys(Variant variant) {
    Map<String, String> flags = new LinkedHashMap<>();
    List<Problem> problems = new ArrayList<>();
    for (String set : variant.set()) {
      int equals = set.indexOf('=');
      if (equals < 1) {
        problems.add(new Problem("variant", set, "expected key=value"));
      } else {
        flags.put(set.substring(0, equals), set.substring(equals + 1));
      }
    }
    Reading reading = Setup.read(new Sources(null, flags, Map.of()), false);
    reading.problems().addAll(problems);
    return reading;
  }
}
