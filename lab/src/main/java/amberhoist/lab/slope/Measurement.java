package amberhoist.lab.slope;

import amberhoist.clock.Clock;
import amberhoist.directory.DirectoryUpdate;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/** The costs that can be measured by size, each on one thread and in isolation. */
public enum Measurement {
  /** Time to place a connection, by number of providers. */
  PLACEMENT("providers", "us a placement", 30, 100, 300, 1000, 3000) {
    @Override
    double measureOnce(int size) {
      ModuleBenchmark benchmark = new ModuleBenchmark(size, GROUPS, false);
      return measurePlacements(benchmark);
    }
  },
  /** Time to place a connection, by number of groups. */
  GROUPS_KNOWN("groups", "us a placement", 10, 100, 1000, 10_000) {
    @Override
    double measureOnce(int size) {
      ModuleBenchmark benchmark = new ModuleBenchmark(PROVIDERS, size, false);
      for (int i = 0; i < size; i++) {
        benchmark.placeConnection(); // computes the provider order of each group, which is done once
      }
      return measurePlacements(benchmark);
    }
  },
  /** Memory that the decision module keeps for groups, with 300 providers. */
  GROUPS_MEMORY("groups", "KB", 10_000, 20_000, 50_000, 100_000) {
    @Override
    double measureOnce(int size) {
      ModuleBenchmark benchmark = new ModuleBenchmark(PROVIDERS, size, false);
      benchmark.placeConnection();
      long before = usedHeapBytes();
      for (int i = 0; i < size; i++) {
        benchmark.placeConnection();
      }
      long after = usedHeapBytes();
      benchmark.advanceOneSecond(); // keeps the module reachable until here
      return (after - before) / 1024.0;
    }
  },
  /** Time that the decision module's timers take, by number of established connections. */
  STANDING("connections", "ms a second", 100, 1000, 10_000, 88_400) {
    @Override
    double measureOnce(int size) {
      ModuleBenchmark benchmark = new ModuleBenchmark(PROVIDERS, GROUPS, false);
      for (int i = 0; i < size; i++) {
        benchmark.handOverConnection(i % PROVIDERS);
      }
      benchmark.advanceOneSecond();
      long before = System.nanoTime();
      benchmark.advanceOneSecond();
      return (System.nanoTime() - before) / NANOS_PER_MILLI;
    }
  },
  /** Time to handle a load report of a provider that is not overloaded, by number of established connections. */
  REPORT("connections", "us a report", 100, 1000, 10_000, 88_400) {
    @Override
    double measureOnce(int size) {
      ModuleBenchmark benchmark = new ModuleBenchmark(PROVIDERS, GROUPS, true);
      for (int i = 0; i < size; i++) {
        benchmark.handOverConnection(i % PROVIDERS);
      }
      int reports = 20;
      long before = System.nanoTime();
      for (int i = 0; i < reports; i++) {
        benchmark.reportLoad(i, 0.5);
      }
      return (System.nanoTime() - before) / NANOS_PER_MICRO / reports;
    }
  },
  /** Resident memory of a proxy process, by number of established connections. */
  RELAY_MEMORY("connections", "KB", 100, 300, 1000, 3000, 6000) {
    @Override
    double measureOnce(int size) {
      try (RelayBenchmark benchmark = new RelayBenchmark(size)) {
        benchmark.openConnections(size);
        return benchmark.residentKb();
      } catch (IOException fault) {
        throw new UncheckedIOException(fault);
      }
    }
  },
  /** Processor time of a proxy process for lines of 64 bytes and their echoes, over 1,000 connections. */
  RELAY_LINES("lines", "ms", 10_000, 30_000, 100_000, 300_000) {
    @Override
    double measureOnce(int size) {
      try (RelayBenchmark benchmark = new RelayBenchmark(1000)) {
        benchmark.openConnections(1000);
        double before = benchmark.processorMicros();
        benchmark.echoLines(size);
        return (benchmark.processorMicros() - before) / NANOS_PER_MICRO;
      } catch (IOException fault) {
        throw new UncheckedIOException(fault);
      }
    }
  },
  /** Time to parse a full list of the directory. */
  LIST("providers", "us a list", 30, 100, 300, 1000, 3000) {
    @Override
    double measureOnce(int size) {
      byte[] list = directoryListJson(size);
      long before = System.nanoTime();
      try {
        if (DirectoryUpdate.parse(list, new Clock()).providers().size() != size) {
          throw new IllegalStateException("entries are missing");
        }
      } catch (IOException impossible) {
        throw new UncheckedIOException(impossible);
      }
      return (System.nanoTime() - before) / NANOS_PER_MICRO;
    }
  },
  /** Size of a full list of the directory. */
  LIST_BYTES("providers", "bytes a list", 30, 100, 300, 1000, 3000) {
    @Override
    double measureOnce(int size) {
      return directoryListJson(size).length;
    }
  };

  private static final int PROVIDERS = 300;
  private static final int GROUPS = 100;
  private static final int PLACEMENTS = 2000;
  private static final double NANOS_PER_MICRO = 1e3;
  private static final double NANOS_PER_MILLI = 1e6;

  private final String sizeUnit;
  private final String quantity;
  private final int[] sizes;

  Measurement(String unit, String value, int... sizes) {
    this.sizeUnit = unit;
    this.quantity = value;
    this.sizes = sizes;
  }

  abstract double measureOnce(int size);

  /** What the size counts, such as providers. */
  public String sizeUnit() {
    return sizeUnit;
  }

  /** The measured quantity and its unit, in words. */
  public String quantity() {
    return quantity;
  }

  /** The sizes at which the cost is measured. */
  public List<Integer> sizes() {
    return Arrays.stream(sizes).boxed().toList();
  }

  /** The median over {@code repetitions} at this size, after a warm-up run that is not counted. */
  public double median(int size, int repetitions) {
    measureOnce(size);
    double[] samples = new double[repetitions];
    for (int i = 0; i < repetitions; i++) {
      samples[i] = measureOnce(size);
    }
    Arrays.sort(samples);
    return samples[repetitions / 2];
  }

  private static double measurePlacements(ModuleBenchmark benchmark) {
    int placed = 0;
    for (int i = 0; i < PLACEMENTS / 4; i++) {
      benchmark.placeConnection();
    }
    long before = System.nanoTime();
    for (int i = 0; i < PLACEMENTS; i++) {
      placed += benchmark.placeConnection() ? 1 : 0;
    }
    if (placed < PLACEMENTS) {
      throw new IllegalStateException(placed + " of " + PLACEMENTS + " were placed");
    }
    return (System.nanoTime() - before) / NANOS_PER_MICRO / PLACEMENTS;
  }

  private static byte[] directoryListJson(int size) {
    StringBuilder text = new StringBuilder("{\"index\":41,\"snapshot\":true,\"endpoints\":[");
    for (int i = 0; i < size; i++) {
      text.append(i == 0 ? "" : ",").append("{\"name\":\"s-").append(Integer.toHexString(0x5be2a07c + i))
          .append("\",\"address\":\"127.1.").append(i / 250).append('.').append(i % 250 + 1)
          .append(":3000\",\"zone\":\"a\",\"type\":\"m2\",\"group\":3,\"status\":\"active\",\"weight\":1.0,")
          .append("\"since_ms\":0}");
    }
    return text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
  }

  private static long usedHeapBytes() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
