package amberhoist.lab.run;

import amberhoist.lab.run.ExperimentRuns.ClaimResult;
import amberhoist.lab.run.ExperimentRuns.Run;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** Writes the results of an experiment: all figures of all runs as CSV, a report in Markdown and a chart. */
public final class Results {
  private final ExperimentRuns runs;

  /** Creates the results of these runs. */
  public Results(ExperimentRuns runs) {
    this.runs = runs;
  }

  /** Writes all files to a folder with the experiment's name under this one, and returns it. */
  public Path write(Path parent) throws IOException {
    Path folder = Files.createDirectories(parent.resolve(runs.experiment().name()));
    try (Writer out = Files.newBufferedWriter(folder.resolve("results.csv"));
        CSVPrinter csv = new CSVPrinter(out, CSVFormat.RFC4180)) {
      csv.printRecord("experiment", "variant", "seed", "hash", "figure", "value");
      for (List<Run> variantRuns : runs.byVariant().values()) {
        for (Run run : variantRuns) {
          for (Map.Entry<String, Double> figure : run.result().figures().entrySet()) {
            csv.printRecord(runs.experiment().name(), run.variant().name(), run.seed(), run.result().hash(),
                figure.getKey(), figure.getValue());
          }
        }
      }
    }
    Files.writeString(folder.resolve("report.md"), report());
    Charts.drawService(runs, folder.resolve("service.png"));
    return folder;
  }

  private String report() {
    StringBuilder report = new StringBuilder("# " + runs.experiment().name() + "\n\n" + runs.experiment().title()
        + "\n\n| figure, mean over seeds |");
    runs.byVariant().keySet().forEach(variant -> report.append(' ').append(variant).append(" |"));
    report.append("\n| --- |").append(" ---: |".repeat(runs.byVariant().size())).append('\n');
    Run first = runs.byVariant().values().iterator().next().get(0);
    for (String figure : first.result().figures().keySet()) {
      report.append("| ").append(figure).append(" |");
      runs.byVariant().keySet().forEach(variant -> report.append(String.format(" %.4f |", runs.mean(variant, figure))));
      report.append('\n');
    }
    appendDifferences(report);
    report.append("\n![service in each second](service.png)\n\n## Claims\n\n");
    for (ClaimResult claimResult : runs.claimResults()) {
      report.append("- ").append(claimResult).append('\n');
    }
    return report.toString();
  }

  /** Appends the difference in service between the first variant and each other one. */
  private void appendDifferences(StringBuilder report) {
    List<String> variants = List.copyOf(runs.byVariant().keySet());
    for (String variant : variants.subList(1, variants.size())) {
      report.append("\nService of ").append(variants.get(0)).append(" less that of ").append(variant)
          .append(", 95 % interval: ").append(runs.difference(variants.get(0), variant, "service")).append(".\n");
    }
  }
}
