package amberhoist.lab.soak;

import amberhoist.lab.soak.ConnectionHistory.SeenEnd;
import amberhoist.lab.soak.ConnectionScript.How;
import amberhoist.lab.soak.ConnectionScript.Initiator;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.locks.LockSupport;

/** Plays one connection of a client through the proxy, on the calling thread. */
final class ScriptedClient {
  private static final int READ_TIMEOUT_MILLIS = 15_000;
  private static final String CONNECTION_RESET = "Connection reset by peer";
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long LINE_INTERVAL_NANOS = 20 * NANOS_PER_MILLI;

  private final ConnectionHistory history;
  private final ConnectionScript script;
  private Socket socket;
  private BufferedReader in;
  private boolean hasEnded;
  private boolean wasResetOnWrite;

  ScriptedClient(ConnectionHistory history) {
    this.history = history;
    script = history.script;
  }

  /** Connects, requests a connection, uses it as the script says, and reads to the end. */
  void run(int port, String className) {
    try (Socket opened = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket = opened;
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      socket.setTcpNoDelay(true);
      in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      write("OPEN " + history.id + " k" + history.id + " c=" + className + ",t=acme,d=" + history.deadlineMillis);
      history.onRequested(System.nanoTime());
      String answer = readLine();
      if (answer != null) {
        history.onAnswered(System.nanoTime(), answer);
        if (answer.startsWith("UP ")) {
          use();
        }
      }
    } catch (IOException fault) {
      // refused, or ended by the proxy; the history has what came before
    }
  }

  private void use() throws IOException {
    for (int i = 0; i < script.exchanges() && !hasEnded; i++) {
      exchange("line " + i);
    }
    for (int i = 0; script.initiator() == Initiator.NOBODY && !hasEnded; i++) {
      exchange("line " + (script.exchanges() + i));
      LockSupport.parkNanos(LINE_INTERVAL_NANOS);
    }
    if (hasEnded) {
      return;
    }
    if (script.initiator() != Initiator.CLIENT) {
      sendLine(ScriptedProvider.END_REQUEST);
    }
    for (int i = 0; i < script.linesAcross(); i++) {
      sendLine("across " + i);
    }
    endOwnSide();
    LockSupport.parkNanos(script.readDelayMillis() * NANOS_PER_MILLI);
    while (!hasEnded) {
      readAndRecord();
    }
  }

  private void endOwnSide() throws IOException {
    if (script.initiator() == Initiator.PROVIDER) {
      return;
    }
    history.onClientEnded();
    if (script.initiator() == Initiator.BOTH || script.how() == How.FIN) {
      socket.shutdownOutput();
      return;
    }
    if (script.how() == How.RESET) {
      socket.setSoLinger(true, 0);
    }
    socket.close();
    hasEnded = true;
  }

  private void exchange(String line) throws IOException {
    sendLine(line);
    readAndRecord();
  }

  private void sendLine(String line) {
    try {
      write(line);
      history.onClientSent(line);
    } catch (IOException ended) {
      // the reads that follow find the end and what came before it, but the error of a reset is reported only once
      wasResetOnWrite |= CONNECTION_RESET.equals(ended.getMessage());
    }
  }

  private void write(String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }

  private void readAndRecord() throws IOException {
    String line = readLine();
    if (line != null) {
      history.onClientRead(line);
    }
  }

  /** The next line, or null at the end of the connection, which is recorded. */
  private String readLine() throws IOException {
    String line;
    try {
      line = in.readLine();
    } catch (java.net.SocketTimeoutException stuck) {
      hasEnded = true;
      throw stuck;
    } catch (IOException reset) {
      hasEnded = true;
      history.onEndSeenByClient(System.nanoTime(), SeenEnd.RESET);
      return null;
    }
    if (line == null) {
      hasEnded = true;
      history.onEndSeenByClient(System.nanoTime(), wasResetOnWrite ? SeenEnd.RESET : SeenEnd.FIN);
    }
    return line;
  }
}
