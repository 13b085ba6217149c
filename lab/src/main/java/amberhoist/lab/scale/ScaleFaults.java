package amberhoist.lab.scale;

/** The faults that are injected in a scale test. */
public enum ScaleFaults {
  /** No faults. */
  NONE,
  /** The faults of an ordinary day at 100 times their rate: machines, restarts, racks, zones, isolated regions. */
  ORDINARY,
  /** Ordinary faults, and every few seconds a controller, region or zone that fails, is suspended or is cut off. */
  HARSH
}
