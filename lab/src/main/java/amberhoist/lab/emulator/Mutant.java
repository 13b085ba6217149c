package amberhoist.lab.emulator;

/** Deliberate defects of proxies. {@link ProtocolChecker} must detect each of them. */
public enum Mutant {
  /** No defect. */
  NONE,
  /** Sends each rejection twice. */
  ANSWERS_TWICE,
  /** Sends a rejection after UP. */
  REJECTS_AFTER_UP,
  /** Does not send rejections. */
  FORGETS_REJECTIONS,
  /** Sends rejections after the client's deadline. */
  REJECTS_TOO_LATE,
  /** Does not forward UP to the client. */
  FORGETS_UP,
  /** Ignores every client connection whose id is divisible by ten. */
  FORGETS_CLIENTS,
  /** Sends each open request twice. */
  CALLS_TWO,
  /** Does not close abandoned attempts. */
  KEEPS_CALLS,
  /** Starts attempts on a draining provider, if there is one. */
  CALLS_DRAINING,
  /** Ignores directory updates. */
  HEARS_NO_NEWS,
  /** Starts attempts on a cold provider, if there is one. */
  SWAMPS_COLD,
  /** Uses a cold provider's whole warm-up budget in each proxy, in place of the proxy's part. */
  RAMPS_AS_IF_ALONE,
  /** Does not detect silent providers. */
  MISSES_SILENCE,
  /** Does not close the client's connection when the provider's ends. */
  KEEPS_CLIENTS,
  /** Closes client connections at a stop without moving them. */
  CUTS_AT_STOP
}
