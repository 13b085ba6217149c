package amberhoist.front.line;

import amberhoist.core.Core;
import amberhoist.directory.AddressBook;
import amberhoist.net.Connection;
import amberhoist.net.Handler;
import amberhoist.net.Loop;
import amberhoist.net.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * Fetches load reports from providers: sends {@code STATS} on a separate connection, which the provider answers by
 * {@code PONG} and the report. Any fault closes that connection; the decision module then gets no report, and nothing
 * else is affected.
 */
final class LineReports implements Handler {
  private static final byte[] STATS_REQUEST = Lines.ascii("STATS\r\n");
  private static final String ANSWER_PREFIX = "PONG ";
  private static final String UTILIZATION_FIELD = "x0=";
  private static final long TIMEOUT_MICROS = 500_000; // a later report would be out of date

  private final Loop loop;
  private final Transport transport;
  private final AddressBook registry;
  private Core core;

  LineReports(Loop loop, Transport transport, AddressBook registry) {
    this.loop = loop;
    this.transport = transport;
    this.registry = registry;
  }

  void wire(Core newCore) {
    core = newCore;
  }

  /** Requests a report from a provider; does nothing if its address is not known or no socket can be opened. */
  void ask(String provider) {
    InetSocketAddress address = registry.of(provider);
    if (address == null) {
      return;
    }
    try {
      Connection connection = transport.dial(address, this);
      connection.attach(provider);
      connection.timer(
          loop.wheel().arm(loop.now() + TIMEOUT_MICROS, now -> loop.run(() -> transport.drop(connection))));
    } catch (IOException fault) {
      // the next request may succeed
    }
  }

  @Override
  public void connected(Connection connection) {
    transport.send(connection, STATS_REQUEST);
    transport.read(connection);
  }

  @Override
  public void input(Connection connection) {
    byte[] line;
    try {
      line = connection.line(Opening.LONGEST);
    } catch (IOException lineTooLong) {
      transport.drop(connection);
      return;
    }
    if (line != null) {
      double utilization = heat(Lines.text(line));
      transport.drop(connection);
      if (!Double.isNaN(utilization)) {
        core.report(loop.now(), (String) connection.attachment(), utilization);
      }
    }
  }

  /** The utilization (demand over capacity) in an answer without its CRLF; NaN if it is missing or invalid. */
  static double heat(String answer) {
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
  public void inputEnded(Connection connection) {
    transport.drop(connection);
  }

  @Override
  public void broken(Connection connection) {
    transport.drop(connection);
  }
}
