package amberhoist.lab.scale;

/** How much goes wrong in a scale test. */
public enum ScaleFaults {
  /** Nothing. */
  NONE,
  /** The ordinary day's failures at a hundred times their rate: machines, restarts, racks, zones, regions cut off. */
  ORDINARY,
  /** The ordinary ones, and each few seconds a controller, region or zone that is lost, stopped or cut off. */
  HARSH
}
