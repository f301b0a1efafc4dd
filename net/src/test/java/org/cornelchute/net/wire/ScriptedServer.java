package org.cornelchute.net.wire;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Server that writes the packets of a script on connections that stay open. */
public final class ScriptedServer implements AutoCloseable {

  /** Time between two packets, so that the client reads them one by one. */
  private static final long PACKET_INTERVAL_MILLIS = 40;

  private static final String LENGTH_HEADER = "content-length:";

  /** Requests that arrived with their whole body, in order. */
  public final List<Received> received = new CopyOnWriteArrayList<>();

  /** Number of bytes of each body that was not whole when the client closed its connection. */
  final BlockingQueue<Long> brokenBodies = new LinkedBlockingQueue<>();

  private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
  private final Script script;
  private int connections;

  /** Starts a server. */
  public ScriptedServer(Script script) throws IOException {
    this.script = script;
    startThread(this::accept);
  }

  /** Returns the address as {@code ip:port}. */
  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Returns the number of the connection on which a request arrived whole, from 1. */
  int connectionOf(String id) {
    List<Received> matching = received.stream().filter(r -> r.id().equals(id)).toList();
    if (matching.size() != 1) {
      throw new AssertionError("request " + id + " arrived other than once: " + received);
    }
    return matching.get(0).connection();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        int connection = ++connections;
        startThread(() -> serve(socket, connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket accepted, int connection) {
    try (Socket socket = accepted) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      write(socket, script.onAccept(connection));
      while (true) {
        Head head = readHead(in);
        write(socket, script.beforeBody(connection, head.id()));
        readBody(in, head.length());
        received.add(new Received(connection, head.id()));
        write(socket, script.answer(connection, head.id()));
      }
    } catch (IOException | InterruptedException e) {
      // The client has closed the connection, or the test has ended.
      return;
    }
  }

  private static void write(Socket socket, List<String> packets)
      throws IOException, InterruptedException {
    for (int i = 0; i < packets.size(); i++) {
      if (i > 0) {
        TimeUnit.MILLISECONDS.sleep(PACKET_INTERVAL_MILLIS);
      }
      socket.getOutputStream().write(packets.get(i).getBytes(StandardCharsets.US_ASCII));
    }
  }

  private static Head readHead(InputStream in) throws IOException {
    String id = "";
    long length = 0;
    String line = readLine(in);
    while (!line.isEmpty()) {
      String lowerCase = line.toLowerCase(Locale.ROOT);
      if (lowerCase.startsWith("x-id:") || lowerCase.startsWith("x-request-id:")) {
        id = line.substring(line.indexOf(':') + 1).strip();
      } else if (lowerCase.startsWith(LENGTH_HEADER)) {
        length = Long.parseLong(line.substring(LENGTH_HEADER.length()).strip());
      }
      line = readLine(in);
    }
    return new Head(id, length);
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new IOException("connection closed");
      }
      if (b != '\r') {
        line.append((char) b);
      }
    }
    return line.toString();
  }

  private void readBody(InputStream in, long length) throws IOException {
    byte[] buffer = new byte[65_536];
    long read = 0;
    try {
      while (read < length) {
        int n = in.read(buffer, 0, (int) Math.min(buffer.length, length - read));
        if (n < 0) {
          throw new IOException("connection closed inside a body");
        }
        read += n;
      }
    } catch (IOException e) {
      brokenBodies.add(read);
      throw e;
    }
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  /** Packets that the server sends; connections are counted from 1. */
  public interface Script {

    /** Returns what is sent before a request is read. */
    default List<String> onAccept(int connection) {
      return List.of();
    }

    /** Returns what is sent once the head of a request was read, before its body is. */
    default List<String> beforeBody(int connection, String id) {
      return List.of();
    }

    /** Returns what is sent once a request was read whole. */
    List<String> answer(int connection, String id);
  }

  /** A request that arrived whole on a connection. */
  public record Received(int connection, String id) {}

  private record Head(String id, long length) {}
}
