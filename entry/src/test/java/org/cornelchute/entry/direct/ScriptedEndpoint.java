package org.cornelchute.entry.direct;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** An endpoint that answers each request with the bytes and pauses of a script. */
final class ScriptedEndpoint implements AutoCloseable {

  /** Name under which requests hold their request line. */
  static final String REQUEST_LINE = "";

  /** Requests that arrived completely, as header values by lower-case name, one char a byte. */
  final List<Map<String, String>> requests = new CopyOnWriteArrayList<>();

  private final List<Socket> sockets = Collections.synchronizedList(new CopyOnWriteArrayList<>());
  private final ServerSocket server;
  private final String greeting;
  private final Script script;

  ScriptedEndpoint(Script script) throws IOException {
    this("", script);
  }

  /** Starts an endpoint that sends a greeting on each connection before it reads a request. */
  ScriptedEndpoint(String greeting, Script script) throws IOException {
    this.greeting = greeting;
    this.script = script;
    this.server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    start(this::acceptAll);
  }

  int port() {
    return server.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** Returns the head of a response to a request with the id of that request. */
  static String head(String status, Map<String, String> request, String... headers) {
    return "HTTP/1.1 "
        + status
        + "\r\nx-id: "
        + request.get("x-id")
        + "\r\n"
        + (headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n")
        + "\r\n";
  }

  /** Returns the head of an event stream in chunks, with the signature of an endpoint. */
  static String streamHead(Map<String, String> request) {
    return head(
        "200 OK",
        request,
        "x-signature: signed",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked");
  }

  /** Returns the chunk with one event. */
  static String event(int id) {
    return chunk("id: " + id + "\ndata: d" + id + "\n\n");
  }

  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** Returns the last chunk of a body. */
  static String lastChunk() {
    return "0\r\n\r\n";
  }

  private void acceptAll() throws IOException {
    while (!server.isClosed()) {
      Socket socket = server.accept();
      sockets.add(socket);
      start(() -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    try (socket) {
      new Output(socket.getOutputStream()).write(greeting);
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      Map<String, String> request = readRequest(reader);
      while (request != null) {
        requests.add(request);
        if (!script.answer(request, new Output(socket.getOutputStream()))) {
          return;
        }
        request = readRequest(reader);
      }
    }
  }

  /** Reads a request; returns null at the end of the connection. */
  private static Map<String, String> readRequest(BufferedReader reader) throws IOException {
    String line = reader.readLine();
    if (line == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    headers.put(REQUEST_LINE, line);
    for (line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    reader.skip(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    return headers;
  }

  private static void start(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The entry closed the connection, or the test is over.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Answers one request. */
  @FunctionalInterface
  interface Script {

    /** Writes the response; returns whether the connection stays open. */
    boolean answer(Map<String, String> request, Output output) throws IOException;
  }

  /** The connection of one request. */
  record Output(OutputStream stream) {

    /** Writes text at once. */
    Output write(String text) throws IOException {
      stream.write(text.getBytes(StandardCharsets.US_ASCII));
      stream.flush();
      return this;
    }

    /** Sends nothing for a time. */
    Output pause(long millis) {
      try {
        TimeUnit.MILLISECONDS.sleep(millis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return this;
    }
  }

  @FunctionalInterface
  private interface Task {
    void run() throws IOException;
  }
}
