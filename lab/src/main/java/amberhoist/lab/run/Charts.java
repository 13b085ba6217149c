package amberhoist.lab.run;

import amberhoist.lab.experiment.Experiment.Fault;
import amberhoist.lab.run.ExperimentRuns.Run;
import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.knowm.xchart.AnnotationText;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler.LegendPosition;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws the service of an experiment's variants in each second, averaged over the seeds, above bars for the faults. */
final class Charts {
  private static final Color[] COLOURS = {new Color(0x1f77b4), new Color(0xd62728), new Color(0x2ca02c),
      new Color(0x9467bd), new Color(0x8c564b)};
  private static final Color FAULT_COLOUR = new Color(0x555555);

  private Charts() {}

  static void drawService(ExperimentRuns runs, Path png) throws IOException {
    XYChart chart = new XYChartBuilder().width(900).height(420).title(runs.experiment().name() + ": service")
        .xAxisTitle("seconds").yAxisTitle("answered in time over wanted").build();
    chart.getStyler().setLegendPosition(LegendPosition.OutsideS);
    chart.getStyler().setChartBackgroundColor(Color.WHITE);
    chart.getStyler().setYAxisMin(0.0);
    chart.getStyler().setYAxisMax(1.1);
    int colourIndex = 0;
    for (var variant : runs.byVariant().entrySet()) {
      double[] mean = mean(variant.getValue());
      double[] seconds = new double[mean.length];
      for (int i = 0; i < seconds.length; i++) {
        seconds[i] = i;
      }
      XYSeries series = chart.addSeries(variant.getKey(), seconds, mean);
      series.setMarker(SeriesMarkers.NONE).setLineColor(COLOURS[colourIndex++ % COLOURS.length]).setLineWidth(1.6f);
    }
    int faultNumber = 0;
    for (Fault fault : runs.experiment().faults()) {
      double from = fault.at().toMillis() / 1000.0;
      double to = from + Math.max(0.5, fault.length().toMillis() / 1000.0);
      double height = 0.02 + 0.035 * (faultNumber % 4);
      String name = fault.kind().name().toLowerCase(Locale.ROOT);
      XYSeries band =
          chart.addSeries(name + ' ' + ++faultNumber, new double[] {from, to}, new double[] {height, height});
      band.setMarker(SeriesMarkers.NONE).setLineColor(FAULT_COLOUR).setLineWidth(5f).setShowInLegend(false);
      chart.addAnnotation(new AnnotationText(name, (from + to) / 2, height + 0.03, false));
    }
    BitmapEncoder.saveBitmap(chart, png.toString(), BitmapFormat.PNG);
  }

  /** Mean service in each second, capped at 1.1 in each run. */
  private static double[] mean(List<Run> runs) {
    double[] mean = new double[runs.get(0).result().serviceBySecond().length - 1];
    for (Run run : runs) {
      for (int i = 0; i < mean.length; i++) {
        mean[i] += Math.min(1.1, run.result().serviceBySecond()[i]) / runs.size();
      }
    }
    return mean;
  }
}
