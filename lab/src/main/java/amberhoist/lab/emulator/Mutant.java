package amberhoist.lab.emulator;

/** Defects that are built into proxies on purpose, each of which the checker must see. */
public enum Mutant {
  /** The proxy as it is. */
  NONE,
  /** A rejection is said twice. */
  ANSWERS_TWICE,
  /** A rejection follows UP. */
  REJECTS_AFTER_UP,
  /** Rejections are never said. */
  FORGETS_REJECTIONS,
  /** Rejections are said when the client has given up. */
  REJECTS_TOO_LATE,
  /** UP is never passed on. */
  FORGETS_UP,
  /** Every tenth client is forgotten. */
  FORGETS_CLIENTS,
  /** A first line goes to two providers. */
  CALLS_TWO,
  /** A call that is given up stays out. */
  KEEPS_CALLS,
  /** Draining providers are called where there are any. */
  CALLS_DRAINING,
  /** News of the directory is not heard. */
  HEARS_NO_NEWS,
  /** Cold providers are called where there are any. */
  SWAMPS_COLD,
  /** Each proxy takes all that a cold provider bears for its own part. */
  RAMPS_AS_IF_ALONE,
  /** Silence of providers goes unnoticed. */
  MISSES_SILENCE,
  /** The end of a provider's connection is not passed on. */
  KEEPS_CLIENTS,
  /** A stop cuts clients off in place of moving them. */
  CUTS_AT_STOP
}
