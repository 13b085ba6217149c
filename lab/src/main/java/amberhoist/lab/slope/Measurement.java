package amberhoist.lab.slope;

import amberhoist.clock.Clock;
import amberhoist.directory.DirectoryUpdate;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/** What can be measured by size, on one thread and with nothing round it. Values are medians over repetitions. */
public enum Measurement {
  /** Placing a connection, over so many providers. */
  PLACEMENT("providers", "us a placement", 30, 100, 300, 1000, 3000) {
    @Override
    double once(int size) {
      ModuleBench bench = new ModuleBench(size, GROUPS, false);
      return placements(bench);
    }
  },
  /** Placing a connection, with so many groups. */
  GROUPS_KNOWN("groups", "us a placement", 10, 100, 1000, 10_000) {
    @Override
    double once(int size) {
      ModuleBench bench = new ModuleBench(PROVIDERS, size, false);
      for (int i = 0; i < size; i++) {
        bench.place(); // each group's order is worked out once
      }
      return placements(bench);
    }
  },
  /** Memory that the module keeps for groups, with 300 providers. */
  GROUPS_MEMORY("groups", "KB", 10_000, 20_000, 50_000, 100_000) {
    @Override
    double once(int size) {
      ModuleBench bench = new ModuleBench(PROVIDERS, size, false);
      bench.place();
      long before = used();
      for (int i = 0; i < size; i++) {
        bench.place();
      }
      long after = used();
      bench.second(); // keeps it reachable until here
      return (after - before) / 1024.0;
    }
  },
  /** The module's timers, with so many standing connections. */
  STANDING("connections", "ms a second", 100, 1000, 10_000, 88_400) {
    @Override
    double once(int size) {
      ModuleBench bench = new ModuleBench(PROVIDERS, GROUPS, false);
      for (int i = 0; i < size; i++) {
        bench.stand(i % PROVIDERS);
      }
      bench.second();
      long before = System.nanoTime();
      bench.second();
      return (System.nanoTime() - before) / MILLION;
    }
  },
  /** A report of a provider that is not hot, with so many standing connections in all. */
  REPORT("connections", "us a report", 100, 1000, 10_000, 88_400) {
    @Override
    double once(int size) {
      ModuleBench bench = new ModuleBench(PROVIDERS, GROUPS, true);
      for (int i = 0; i < size; i++) {
        bench.stand(i % PROVIDERS);
      }
      int reports = 20;
      long before = System.nanoTime();
      for (int i = 0; i < reports; i++) {
        bench.report(i, 0.5);
      }
      return (System.nanoTime() - before) / THOUSAND / reports;
    }
  },
  /** Resident memory of the program as a process, with so many standing connections. */
  RELAY_MEMORY("connections", "KB", 100, 300, 1000, 3000, 6000) {
    @Override
    double once(int size) {
      try (RelayBench bench = new RelayBench(size)) {
        bench.connect(size);
        return bench.residentKb();
      } catch (IOException fault) {
        throw new UncheckedIOException(fault);
      }
    }
  },
  /** Processor time of that process for a line there and back, 64 bytes, over 1,000 connections. */
  RELAY_LINES("lines", "ms", 10_000, 30_000, 100_000, 300_000) {
    @Override
    double once(int size) {
      try (RelayBench bench = new RelayBench(1000)) {
        bench.connect(1000);
        double before = bench.processorMicros();
        bench.lines(size);
        return (bench.processorMicros() - before) / THOUSAND;
      } catch (IOException fault) {
        throw new UncheckedIOException(fault);
      }
    }
  },
  /** A whole list of the directory, read. */
  LIST("providers", "us a list", 30, 100, 300, 1000, 3000) {
    @Override
    double once(int size) {
      byte[] list = list(size);
      long before = System.nanoTime();
      try {
        if (DirectoryUpdate.parse(list, new Clock()).providers().size() != size) {
          throw new IllegalStateException("entries are missing");
        }
      } catch (IOException impossible) {
        throw new UncheckedIOException(impossible);
      }
      return (System.nanoTime() - before) / THOUSAND;
    }
  },
  /** A whole list of the directory, in bytes. */
  LIST_BYTES("providers", "bytes a list", 30, 100, 300, 1000, 3000) {
    @Override
    double once(int size) {
      return list(size).length;
    }
  };

  private static final int PROVIDERS = 300;
  private static final int GROUPS = 100;
  private static final int PLACEMENTS = 2000;
  private static final double THOUSAND = 1e3;
  private static final double MILLION = 1e6;

  private final String unit;
  private final String value;
  private final int[] sizes;

  Measurement(String unit, String value, int... sizes) {
    this.unit = unit;
    this.value = value;
    this.sizes = sizes;
  }

  abstract double once(int size);

  /** What the size counts. */
  public String unit() {
    return unit;
  }

  /** What is measured, in words. */
  public String value() {
    return value;
  }

  /** The sizes that are measured. */
  public List<Integer> sizes() {
    return Arrays.stream(sizes).boxed().toList();
  }

  /** The median of so many repetitions at this size, after one that is not counted. */
  public double median(int size, int repetitions) {
    once(size);
    double[] values = new double[repetitions];
    for (int i = 0; i < repetitions; i++) {
      values[i] = once(size);
    }
    Arrays.sort(values);
    return values[repetitions / 2];
  }

  private static double placements(ModuleBench bench) {
    int placed = 0;
    for (int i = 0; i < PLACEMENTS / 4; i++) {
      bench.place();
    }
    long before = System.nanoTime();
    for (int i = 0; i < PLACEMENTS; i++) {
      placed += bench.place() ? 1 : 0;
    }
    if (placed < PLACEMENTS) {
      throw new IllegalStateException(placed + " of " + PLACEMENTS + " were placed");
    }
    return (System.nanoTime() - before) / THOUSAND / PLACEMENTS;
  }

  private static byte[] list(int size) {
    StringBuilder text = new StringBuilder("{\"index\":41,\"snapshot\":true,\"endpoints\":[");
    for (int i = 0; i < size; i++) {
      text.append(i == 0 ? "" : ",").append("{\"name\":\"s-").append(Integer.toHexString(0x5be2a07c + i))
          .append("\",\"address\":\"127.1.").append(i / 250).append('.').append(i % 250 + 1)
          .append(":3000\",\"zone\":\"a\",\"type\":\"m2\",\"group\":3,\"status\":\"active\",\"weight\":1.0,")
          .append("\"since_ms\":0}");
    }
    return text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
  }

  private static long used() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
