package amberhoist.service;

import amberhoist.admin.Status;
import amberhoist.admin.Status.Latency;
import amberhoist.admin.Status.LogStatus;
import amberhoist.admin.Status.Provider;
import amberhoist.config.ProxyConfig;
import amberhoist.core.Core;
import amberhoist.decide.Balancer.Server;
import amberhoist.directory.ProviderRegistry;
import amberhoist.log.EventLog;
import amberhoist.metrics.Counters;
import amberhoist.metrics.Latencies;
import amberhoist.metrics.Latencies.Span;
import amberhoist.signal.Signals;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.AbstractHistogram;

/** Collects the status of an instance, on the loop's thread. */
final class StatusCollector {
  private StatusCollector() {}

  static Status collect(ProxyConfig config, boolean stopping, Service service, long uptimeMillis, int connections,
      Core core, ProviderRegistry registry, Counters counters, Latencies latencies, EventLog log,
      List<String> restartNeeded, InetSocketAddress directoryAddress) {
    Map<String, Integer> establishedByProvider = new HashMap<>();
    core.forEachEstablished((key, provider) -> establishedByProvider.merge(provider, 1, Integer::sum));
    List<Provider> providers = new ArrayList<>();
    for (Server server : registry.listedProviders()) {
      providers.add(new Provider(server.name(), server.zone(), server.state().name().toLowerCase(Locale.ROOT),
          String.valueOf(registry.addressOf(server.name())), establishedByProvider.getOrDefault(server.name(), 0)));
      establishedByProvider.remove(server.name());
    }
    establishedByProvider.forEach((name, count) -> providers.add(new Provider(name, "", "unlisted", "", count)));
    Map<String, Latency> spans = new LinkedHashMap<>();
    copyLatencies(latencies).forEach((span, histogram) -> spans.put(span.name().toLowerCase(Locale.ROOT),
        new Latency(histogram.getTotalCount(), histogram.getValueAtPercentile(50),
            histogram.getValueAtPercentile(99), histogram.getMaxValue())));
    return new Status(config.platform().name(), version(), stopping ? "stopping" : "serving", listenAddress(service),
        String.valueOf(directoryAddress), uptimeMillis, connections, core.invocationCount(), providers,
        counters.nonZero(), spans, new LogStatus(log.suppressedLines(), EventLog.droppedLines()), restartNeeded,
        Signals.isHangupIgnored());
  }

  private static String listenAddress(Service service) {
    try {
      return String.valueOf(service.address());
    } catch (IOException closed) {
      return "closed";
    }
  }

  private static String version() {
    String version = StatusCollector.class.getPackage().getImplementationVersion();
    return version == null ? "unpackaged" : version;
  }

  static Map<Span, AbstractHistogram> copyLatencies(Latencies latencies) {
    Map<Span, AbstractHistogram> result = new EnumMap<>(Span.class);
    for (Span span : Span.values()) {
      result.put(span, latencies.copy(span));
    }
    return result;
  }
}
