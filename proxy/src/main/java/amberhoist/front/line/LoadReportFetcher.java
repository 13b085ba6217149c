package amberhoist.front.line;

import amberhoist.core.Core;
import amberhoist.directory.ProviderRegistry;
import amberhoist.net.Connection;
import amberhoist.net.ConnectionHandler;
import amberhoist.net.EventLoop;
import amberhoist.net.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * Fetches load reports from providers: sends {@code STATS} on a separate connection, which the provider answers by
 * {@code PONG} and the report. Any fault closes that connection; the decision module then gets no report, and nothing
 * else is affected.
 */
final class LoadReportFetcher implements ConnectionHandler {
  private static final byte[] STATS_REQUEST = Lines.encode("STATS\r\n");
  private static final String ANSWER_PREFIX = "PONG ";
  private static final String UTILIZATION_FIELD = "x0=";
  private static final long TIMEOUT_MICROS = 500_000; // a later report would be out of date

  private final EventLoop loop;
  private final Transport transport;
  private final ProviderRegistry registry;
  private Core core;

  LoadReportFetcher(EventLoop loop, Transport transport, ProviderRegistry registry) {
    this.loop = loop;
    this.transport = transport;
    this.registry = registry;
  }

  void setCore(Core newCore) {
    core = newCore;
  }

  /** Requests a report from a provider; does nothing if its address is not known or no socket can be opened. */
  void fetch(String provider) {
    InetSocketAddress address = registry.addressOf(provider);
    if (address == null) {
      return;
    }
    try {
      Connection connection = transport.connect(address, this);
      connection.attach(provider);
      connection.timer(
          loop.timerWheel().arm(loop.now() + TIMEOUT_MICROS, now -> loop.run(() -> transport.closeNow(connection))));
    } catch (IOException fault) {
      // the next request may succeed
    }
  }

  @Override
  public void onConnected(Connection connection) {
    transport.send(connection, STATS_REQUEST);
    transport.read(connection);
  }

  @Override
  public void onInput(Connection connection) {
    byte[] line;
    try {
      line = connection.pollLine(OpenRequest.MAX_LINE_BYTES);
    } catch (IOException lineTooLong) {
      transport.closeNow(connection);
      return;
    }
    if (line != null) {
      double utilization = parseUtilization(Lines.withoutLineEnd(line));
      transport.closeNow(connection);
      if (!Double.isNaN(utilization)) {
        core.onLoadReport(loop.now(), (String) connection.attachment(), utilization);
      }
    }
  }

  /** The utilization (demand over capacity) in an answer without its CRLF; NaN if it is missing or invalid. */
  static double parseUtilization(String answer) {
    if (answer == null || !answer.startsWith(ANSWER_PREFIX)) {
      return Double.NaN;
    }
    for (String field : answer.substring(ANSWER_PREFIX.length()).split(",")) {
      if (field.startsWith(UTILIZATION_FIELD)) {
        try {
          double utilization = Double.parseDouble(field.substring(UTILIZATION_FIELD.length()));
          return utilization >= 0 && utilization < Double.POSITIVE_INFINITY ? utilization : Double.NaN;
        } catch (NumberFormatException fault) {
          return Double.NaN;
        }
      }
    }
    return Double.NaN;
  }

  @Override
  public void onInputEnded(Connection connection) {
    transport.closeNow(connection);
  }

  @Override
  public void onBroken(Connection connection) {
    transport.closeNow(connection);
  }
}
