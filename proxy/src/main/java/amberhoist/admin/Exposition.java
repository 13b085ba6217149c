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

/** Writes a snapshot of the metrics in the Prometheus text exposition format 0.0.4. Keeps no state between scrapes. */
final class Exposition {
  private static final double MICROS_PER_SECOND = 1e6;

  private Exposition() {}

  static byte[] write(Status status, Map<Span, ? extends AbstractHistogram> spans) throws IOException {
    PrometheusRegistry registry = new PrometheusRegistry();
    for (Count count : Count.values()) {
      String name = count.name().toLowerCase(Locale.ROOT);
      counter(registry, name, "see docs/operations/metrics.md", status.counters().getOrDefault(name, 0L));
    }
    counter(registry, "log_suppressed_lines", "log lines suppressed by a rate limit", status.log().suppressed());
    counter(registry, "log_dropped_lines", "log lines dropped for a slow reader", status.log().dropped());
    gauge(registry, "connections_held", "open connections", status.connections());
    gauge(registry, "invocations_held", "invocations pending, in an attempt or established", status.invocations());
    gauge(registry, "stopping", "1 while the instance is stopping, else 0", status.state().equals("stopping") ? 1 : 0);
    gauge(registry, "restart_needed_keys", "changed keys that need a restart", status.restartNeeded().size());
    gauge(registry, "reload_ignored", "1 if SIGHUP was ignored at the start, else 0", status.reloadIgnored() ? 1 : 0);
    GaugeWithCallback.builder().name("amberhoist_standing").help("connections established with a provider")
        .labelNames("provider", "state").callback(out -> status.providers()
            .forEach(provider -> out.call(provider.standing(), provider.name(), provider.state())))
        .register(registry);
    spans.forEach((span, histogram) -> SummaryWithCallback.builder()
        .name("amberhoist_" + span.name().toLowerCase(Locale.ROOT)).unit(Unit.SECONDS).help(span.helpText())
        .callback(out -> out.call(histogram.getTotalCount(),
            histogram.getMean() * histogram.getTotalCount() / MICROS_PER_SECOND,
            Quantiles.of(quantile(histogram, 0.5), quantile(histogram, 0.9), quantile(histogram, 0.99),
                quantile(histogram, 1)))).register(registry));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrometheusTextFormatWriter.create().write(out, registry.scrape());
    return out.toByteArray();
  }

  private static Quantile quantile(AbstractHistogram histogram, double fraction) {
    return new Quantile(fraction, histogram.getValueAtPercentile(100 * fraction) / MICROS_PER_SECOND);
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
