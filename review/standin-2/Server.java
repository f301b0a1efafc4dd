import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Small HTTP/1.1 server on a loopback address: a thread a connection, one request at a time. */
final class Server implements AutoCloseable {

  /** Answers requests, on the thread of the connection. */
  interface Handler {
    Response handle(Request request) throws Exception;
  }

  /** A request that was read whole; header names are in lower case. */
  record Request(String method, String target, Map<String, String> headers, byte[] body) {
    String path() {
      int query = target.indexOf('?');
      return query < 0 ? target : target.substring(0, query);
    }

    String query(String name, String otherwise) {
      int query = target.indexOf('?');
      if (query >= 0) {
        for (String pair : target.substring(query + 1).split("&")) {
          if (pair.startsWith(name + "=")) {
            return java.net.URLDecoder.decode(
                pair.substring(name.length() + 1), StandardCharsets.UTF_8);
          }
        }
      }
      return otherwise;
    }

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  /** A response; with a null body, the connection stays open and delivers nothing. */
  record Response(int status, Map<String, String> headers, byte[] body) {
    static Response of(int status, String body) {
      return new Response(
          status, new LinkedHashMap<>(), body.getBytes(StandardCharsets.ISO_8859_1));
    }

    Response with(String name, String value) {
      headers.put(name, value);
      return this;
    }
  }

  private final ServerSocket socket;
  private final Handler handler;

  Server(Handler handler) throws IOException {
    this.handler = handler;
    this.socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    Thread thread = new Thread(this::accept, "accept");
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket accepted = socket.accept();
        accepted.setTcpNoDelay(true);
        Thread thread = new Thread(() -> serve(accepted), "connection");
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket accepted) {
    try (accepted) {
      InputStream in = new BufferedInputStream(accepted.getInputStream(), 65_536);
      OutputStream out = accepted.getOutputStream();
      while (true) {
        Request request = readRequest(in);
        if (request == null) {
          return;
        }
        Response response = handler.handle(request);
        if (response.body == null) {
          // Nothing more is sent; the connection stays open until the peer closes it.
          in.transferTo(OutputStream.nullOutputStream());
          return;
        }
        out.write(encode(response));
        out.flush();
        if (request.header("connection").equalsIgnoreCase("close")) {
          return;
        }
      }
    } catch (Exception e) {
      // The peer closed the connection.
    }
  }

  private static byte[] encode(Response response) {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + response.status + " x\r\n");
    response.headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    head.append("Content-Length: " + response.body.length + "\r\n\r\n");
    byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = java.util.Arrays.copyOf(start, start.length + response.body.length);
    System.arraycopy(response.body, 0, all, start.length, response.body.length);
    return all;
  }

  /** Reads a request with a body of a given length or in chunks; null at the end. */
  static Request readRequest(InputStream in) throws IOException {
    String line = readLine(in);
    while (line != null && line.isEmpty()) {
      line = readLine(in);
    }
    if (line == null) {
      return null;
    }
    String[] words = line.split(" ");
    Map<String, String> headers = readHeaders(in);
    return new Request(words[0], words[1], headers, readBody(in, headers));
  }

  static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return headers;
  }

  static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        String line = readLine(in);
        if (line == null) {
          throw new IOException("the connection ended inside a body");
        }
        int size = Integer.parseInt(line.strip(), 16);
        body.write(readFully(in, size));
        readLine(in);
        if (size == 0) {
          return body.toByteArray();
        }
      }
    }
    return readFully(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
  }

  private static byte[] readFully(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new IOException("the connection ended inside a body");
    }
    return bytes;
  }

  static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        int end = line.length();
        return end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : line.toString();
      }
      line.append((char) b);
    }
    return line.length() == 0 ? null : line.toString();
  }
}
