package amberhoist.admin;

import amberhoist.metrics.Counters.Count;
import amberhoist.metrics.Latencies.Span;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.SummaryWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.Quantile;
import io.prometheus.metrics.model.snapshots.Quantiles;
import io.prometheus.metrics.model.snapshots.Unit;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.AbstractHistogram;

/** The metrics of one moment in Prometheus' text format 0.0.4. It is made anew for each scrape and holds nothing. */
final class Exposition {
  private static final double MICROS = 1e6;

  private Exposition() {}

  static byte[] write(Status status, Map<Span, ? extends AbstractHistogram> spans) throws IOException {
    PrometheusRegistry registry = new PrometheusRegistry();
    for (Count count : Count.values()) {
      String name = count.name().toLowerCase(Locale.ROOT);
      counter(registry, name, "see docs/operations/metrics.md", status.counters().getOrDefault(name, 0L));
    }
    counter(registry, "log_suppressed_lines", "lines left out over an event's rate", status.log().suppressed());
    counter(registry, "log_dropped_lines", "lines left out for want of a reader", status.log().dropped());
    gauge(registry, "connections_held", "sockets held", status.connections());
    gauge(registry, "invocations_held", "invocations held, called or joined", status.invocations());
    gauge(registry, "stopping", "1 while the instance stops", status.state().equals("stopping") ? 1 : 0);
    gauge(registry, "restart_needed_keys", "changed keys that wait for a restart", status.restartNeeded().size());
    GaugeWithCallback.builder().name("amberhoist_standing").help("clients joined to a provider")
        .labelNames("provider", "state").callback(out -> status.providers()
            .forEach(provider -> out.call(provider.standing(), provider.name(), provider.state())))
        .register(registry);
    spans.forEach((span, histogram) -> SummaryWithCallback.builder()
        .name("amberhoist_" + span.name().toLowerCase(Locale.ROOT)).unit(Unit.SECONDS).help(span.meaning())
        .callback(out -> out.call(histogram.getTotalCount(), histogram.getMean() * histogram.getTotalCount() / MICROS,
            Quantiles.of(quantile(histogram, 0.5), quantile(histogram, 0.9), quantile(histogram, 0.99),
                quantile(histogram, 1)))).register(registry));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrometheusTextFormatWriter.create().write(out, registry.scrape());
    return out.toByteArray();
  }

  private static Quantile quantile(AbstractHistogram histogram, double part) {
    return new Quantile(part, histogram.getValueAtPercentile(100 * part) / MICROS);
  }

  private static void counter(PrometheusRegistry registry, String name, String help, double value) {
    CounterWithCallback.builder().name("amberhoist_" + name).help(help).callback(out -> out.call(value))
        .register(registry);
  }

  private static void gauge(PrometheusRegistry registry, String name, String help, double value) {
    GaugeWithCallback.builder().name("amberhoist_" + name).help(help).callback(out -> out.call(value))
        .register(registry);
  }
}
