package amberhoist.core;

import amberhoist.core.Wheel.Timer;
import amberhoist.decide.Balancer.Request;

/** One client's invocation, from its first line to the end of its connection. */
final class Invocation {
  /** Where it stands. */
  enum Phase {
    /** No attempt is out: the balancer holds it. */
    WAITING,
    /** An attempt is out whose connection does not stand yet: it has not run. */
    CONNECTING,
    /** The first line has been handed to a connection that stands: whatever comes now, the attempt may have run. */
    SENT,
    /** Client and provider are joined. */
    UP
  }

  final long client;
  LoadReadings told; // from the moment it is joined to a provider
  final long arrived;
  final String type;
  /** Set for a connection that stood before the start, and then the provider that has it. */
  final String handover;
  Request request;
  Phase phase = Phase.WAITING;
  boolean balanced; // the balancer knows it
  long provider = SlotTable.NONE;
  int attempts;
  String called; // the provider of the last call
  long callStart;
  long callEnd;
  Pulse pulse; // of the provider that it is joined to
  long unanswered; // when the first client line went out that no line has followed, 0 for none
  Timer dialTimer;
  Timer callTimer;
  Timer deadlineTimer;
  Timer silenceTimer;

  Invocation(long client, long arrived, String type, String handover) {
    this.client = client;
    this.arrived = arrived;
    this.type = type;
    this.handover = handover;
  }

  /** Whether an attempt is out. */
  boolean calling() {
    return phase == Phase.CONNECTING || phase == Phase.SENT;
  }

  void cancelCallTimers() {
    cancel(dialTimer);
    cancel(callTimer);
  }

  void cancelTimers() {
    cancelCallTimers();
    cancel(deadlineTimer);
    cancel(silenceTimer);
  }

  static void cancel(Timer timer) {
    if (timer != null) {
      timer.cancel();
    }
  }
}
