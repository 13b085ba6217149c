package amberhoist.core;

import amberhoist.core.TimerWheel.Timer;
import amberhoist.core.load.LoadLineClassifier;
import amberhoist.decide.Balancer.Request;

/** One client's invocation, from its open request to the end of its connection. Times are in microseconds. */
final class Invocation {
  /** The stage that the invocation has reached. */
  enum Phase {
    /** No attempt is in flight: the balancer decides, or a handover waits for its next attempt. */
    PENDING,
    /** An attempt is in flight whose provider has not connected yet: it cannot have run. */
    CONNECTING,
    /** The open request was handed to a connected provider connection: from here on the attempt may have run. */
    SENT,
    /** Lines are relayed between client and provider. */
    ESTABLISHED
  }

  final long clientId;
  LoadLineClassifier loadClassifier; // null until established
  final long arrivedAt;
  final String type;
  final String handoverProvider; // the provider that has the connection already; null for a new connection
  Request request;
  Phase phase = Phase.PENDING;
  boolean knownToBalancer; // whether the balancer has been given the request
  long connectionId = SlotTable.NONE;
  int attemptCount;
  String providerName; // the provider of the latest attempt
  long attemptStartedAt;
  long attemptDeadline;
  ProviderLiveness liveness; // of the provider; null until established
  long unansweredSince; // when the first client line was relayed that no provider line has followed, 0 for none
  Timer connectTimer;
  Timer attemptTimer;
  Timer deadlineTimer;
  Timer silenceTimer;

  Invocation(long clientId, long arrivedAt, String type, String handoverProvider) {
    this.clientId = clientId;
    this.arrivedAt = arrivedAt;
    this.type = type;
    this.handoverProvider = handoverProvider;
  }

  /** Whether an attempt is in flight. */
  boolean hasAttemptInFlight() {
    return phase == Phase.CONNECTING || phase == Phase.SENT;
  }

  void cancelAttemptTimers() {
    cancel(connectTimer);
    cancel(attemptTimer);
  }

  void cancelTimers() {
    cancelAttemptTimers();
    cancel(deadlineTimer);
    cancel(silenceTimer);
  }

  static void cancel(Timer timer) {
    if (timer != null) {
      timer.cancel();
    }
  }
}
