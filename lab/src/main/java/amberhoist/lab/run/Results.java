package amberhoist.lab.run;

import amberhoist.lab.run.Runs.Run;
import amberhoist.lab.run.Runs.Verdict;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** Keeps the results of an experiment: all figures of all runs as CSV, and a report for people. */
public final class Results {
  private final Runs runs;

  /** The results of these runs. */
  public Results(Runs runs) {
    this.runs = runs;
  }

  /** Writes them to a folder of the experiment's name below this one. */
  public Path write(Path below) throws IOException {
    Path folder = Files.createDirectories(below.resolve(runs.experiment().name()));
    try (Writer out = Files.newBufferedWriter(folder.resolve("results.csv"));
        CSVPrinter csv = new CSVPrinter(out, CSVFormat.RFC4180)) {
      csv.printRecord("experiment", "variant", "seed", "hash", "figure", "value");
      for (List<Run> all : runs.byVariant().values()) {
        for (Run run : all) {
          for (Map.Entry<String, Double> figure : run.outcome().figures().entrySet()) {
            csv.printRecord(runs.experiment().name(), run.variant().name(), run.seed(), run.outcome().hash(),
                figure.getKey(), figure.getValue());
          }
        }
      }
    }
    Files.writeString(folder.resolve("report.md"), report());
    Charts.timeLine(runs, folder.resolve("service.png"));
    return folder;
  }

  private String report() {
    StringBuilder out = new StringBuilder("# " + runs.experiment().name() + "\n\n" + runs.experiment().title()
        + "\n\n| figure, mean over seeds |");
    runs.byVariant().keySet().forEach(variant -> out.append(' ').append(variant).append(" |"));
    out.append("\n| --- |").append(" ---: |".repeat(runs.byVariant().size())).append('\n');
    Run first = runs.byVariant().values().iterator().next().get(0);
    for (String figure : first.outcome().figures().keySet()) {
      out.append("| ").append(figure).append(" |");
      runs.byVariant().keySet().forEach(variant -> out.append(String.format(" %.4f |", runs.mean(variant, figure))));
      out.append('\n');
    }
    differences(out);
    out.append("\n![service in each second](service.png)\n\n## Claims\n\n");
    for (Verdict verdict : runs.verdicts()) {
      out.append("- ").append(verdict).append('\n');
    }
    return out.toString();
  }

  /** Each further variant against the first one, pair by pair. */
  private void differences(StringBuilder out) {
    List<String> variants = List.copyOf(runs.byVariant().keySet());
    for (String variant : variants.subList(1, variants.size())) {
      out.append("\nService of ").append(variants.get(0)).append(" less that of ").append(variant)
          .append(", 95 % interval: ").append(runs.difference(variants.get(0), variant, "service")).append(".\n");
    }
  }
}
