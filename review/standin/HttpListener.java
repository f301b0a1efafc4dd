import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 server with one thread a connection; all its addresses are loopback addresses. */
final class HttpListener {

  /** Length of the queue of new connections. */
  private static final int BACKLOG = 32;

  private static final long SILENT_MILLIS = 120_000;

  private final String host;
  private final Handler handler;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final int port;
  private final List<SocketChannel> fillers = new ArrayList<>();
  private volatile ServerSocket server;
  private volatile boolean dark;

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

  /**
   * Falls silent, as a machine without power would: what is open stays open and gets nothing more,
   * and a new connection gets no answer, since the queue of new connections is full.
   */
  void goDark() {
    dark = true;
    try {
      for (int i = 0; i <= BACKLOG + 1; i++) {
        SocketChannel filler = SocketChannel.open();
        filler.configureBlocking(false);
        filler.connect(server.getLocalSocketAddress());
        fillers.add(filler);
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Listens again on the same port after {@link #crash} or {@link #goDark}. */
  void reopen() throws IOException {
    if (dark) {
      for (SocketChannel filler : fillers) {
        filler.close();
      }
      fillers.clear();
      // What was open stays silent: nothing tells its other end that the machine is back.
      server.close();
      connections.clear();
      dark = false;
    }
    open(port);
  }

  private void open(int wantedPort) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getByName(host), wantedPort), BACKLOG);
    server = socket;
    Threads.start("listener", () -> accept(socket));
  }

  private void accept(ServerSocket socket) {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        if (dark) {
          // Accepted just when the machine lost power; it stays open and silent.
          connections.add(connection);
          return;
        }
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
        if (dark || !handler.handle(request, out)) {
          stayOpen();
          return;
        }
      }
    } catch (IOException e) {
      // The peer has closed the connection, or the server has crashed.
    } finally {
      connections.remove(connection);
    }
  }

  /** Keeps a silent connection open to the end of the run. */
  private static void stayOpen() {
    Threads.sleep(SILENT_MILLIS);
  }

  boolean isDark() {
    return dark;
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
