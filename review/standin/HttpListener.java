import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 server with one thread a connection; all its addresses are loopback addresses. */
final class HttpListener {

  private final String host;
  private final Handler handler;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final int port;
  private volatile ServerSocket server;

  HttpListener(String host, Handler handler) throws IOException {
    this.host = host;
    this.handler = handler;
    open(0);
    this.port = server.getLocalPort();
  }

  String address() {
    return host + ":" + port;
  }

  /** Ends the listener and all connections, as the end of the process would. */
  void crash() {
    try {
      server.close();
      for (Socket connection : connections) {
        connection.close();
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Listens again on the same port after {@link #crash}. */
  void reopen() throws IOException {
    open(port);
  }

  private void open(int wantedPort) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getByName(host), wantedPort), 256);
    server = socket;
    Threads.start("listener", () -> accept(socket));
  }

  private void accept(ServerSocket socket) {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        connection.setTcpNoDelay(true);
        connections.add(connection);
        Threads.start("connection", () -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = new BufferedOutputStream(connection.getOutputStream(), 65_536);
      HttpMessage request;
      while ((request = HttpMessage.read(in)) != null) {
        if (!handler.handle(request, out)) {
          return;
        }
      }
    } catch (IOException e) {
      // The peer has closed the connection, or the server has crashed.
    } finally {
      connections.remove(connection);
    }
  }

  /** Writes a complete response. */
  static void respond(OutputStream out, int status, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
    headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
  }

  static void respondJson(OutputStream out, int status, Object body) throws IOException {
    respond(
        out,
        status,
        Map.of("Content-Type", "application/json"),
        Json.write(body).getBytes(StandardCharsets.UTF_8));
  }

  /** Handles requests. */
  interface Handler {

    /** Handles a request and returns whether the connection stays open. */
    boolean handle(HttpMessage request, OutputStream out) throws IOException;
  }
}
