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
 * Load reports, as providers give them where they may be asked: {@code STATS} on a connection of its own, answered
 * {@code PONG} and the report. Whatever goes wrong with that connection ends it; the module then has no report, and
 * nothing else depends on it.
 */
final class LineReports implements Handler {
  private static final byte[] ASK = Lines.ascii("STATS\r\n");
  private static final String ANSWER = "PONG ";
  private static final String HEAT = "x0=";
  private static final long PATIENCE = 500_000; // micros: a later report would tell of another moment

  private final Loop loop;
  private final Transport transport;
  private final AddressBook addresses;
  private Core core;

  LineReports(Loop loop, Transport transport, AddressBook addresses) {
    this.loop = loop;
    this.transport = transport;
    this.addresses = addresses;
  }

  void wire(Core theCore) {
    core = theCore;
  }

  /** Asks this provider, unless its address is not known or no socket can be had. */
  void ask(String provider) {
    InetSocketAddress address = addresses.of(provider);
    if (address == null) {
      return;
    }
    try {
      Connection c = transport.dial(address, this);
      c.attach(provider);
      c.timer(loop.wheel().arm(loop.now() + PATIENCE, at -> loop.run(() -> transport.drop(c))));
    } catch (IOException fault) {
      // the next one may be had
    }
  }

  @Override
  public void connected(Connection c) {
    transport.send(c, ASK);
    transport.read(c);
  }

  @Override
  public void input(Connection c) {
    byte[] line;
    try {
      line = c.line(Opening.LONGEST);
    } catch (IOException overlong) {
      transport.drop(c);
      return;
    }
    if (line != null) {
      double heat = heat(Lines.text(line));
      transport.drop(c);
      if (!Double.isNaN(heat)) {
        core.report(loop.now(), (String) c.attachment(), heat);
      }
    }
  }

  /** The load asked of a provider over what it can do, by its answer without CRLF; NaN where it is not said. */
  static double heat(String answer) {
    if (answer == null || !answer.startsWith(ANSWER)) {
      return Double.NaN;
    }
    for (String field : answer.substring(ANSWER.length()).split(",")) {
      if (field.startsWith(HEAT)) {
        try {
          double heat = Double.parseDouble(field.substring(HEAT.length()));
          return heat >= 0 && heat < Double.POSITIVE_INFINITY ? heat : Double.NaN;
        } catch (NumberFormatException fault) {
          return Double.NaN;
        }
      }
    }
    return Double.NaN;
  }

  @Override
  public void inputEnded(Connection c) {
    transport.drop(c);
  }

  @Override
  public void broken(Connection c) {
    transport.drop(c);
  }
}
