package amberhoist.core;

import amberhoist.core.Wheel.Timer;
import amberhoist.decide.Balancer.Request;

/** One client's invocation, from its open request to the end of its connection. Times are in microseconds. */
final class Invocation {
  /** The stage that the invocation has reached. */
  enum Phase {
    /** No attempt is in flight: the balancer decides, or a handover waits for its next attempt. */
    WAITING,
    /** An attempt is in flight whose provider has not connected yet: it cannot have run. */
    CONNECTING,
    /** The open request was handed to a connected provider connection: from here on the attempt may have run. */
    SENT,
    /** Lines are relayed between client and provider. */
    UP
  }

  final long client;
  LoadReadings told; // null until established
  final long arrived;
  final String type;
  final String handover; // the provider that has the connection already; null for a new connection
  Request request;
  Phase phase = Phase.WAITING;
  boolean balanced; // whether the balancer has been given the request
  long provider = SlotTable.NONE;
  int attempts;
  String called; // the provider of the latest attempt
  long callStart;
  long callEnd;
  Pulse pulse; // of the provider; null until established
  long unanswered; // when the first client line was relayed that no provider line has followed, 0 for none
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

  /** Whether an attempt is in flight. */
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
