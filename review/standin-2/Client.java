import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client's connection to an entry. */
final class Client implements AutoCloseable {

  final Socket socket;
  private final InputStream in;
  private final OutputStream out;

  /** An answer that was read whole. */
  record Answer(int status, Map<String, String> headers, byte[] body) {}

  Client(String address) throws IOException {
    int colon = address.lastIndexOf(':');
    socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        1_000);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  /** Sends the head of a request whose body has a length. */
  void sendHead(String method, String path, String host, Map<String, String> headers, int length)
      throws IOException {
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    head.append("Host: ").append(host).append("\r\n");
    headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    if (length > 0 || method.equals("POST")) {
      head.append("Content-Length: ").append(length).append("\r\n");
    }
    out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  void sendBytes(byte[] bytes, int from, int length) throws IOException {
    out.write(bytes, from, length);
    out.flush();
  }

  /** Reads an answer; null if the connection ends before one begins. */
  Answer readAnswer(int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
    String line = Server.readLine(in);
    if (line == null) {
      return null;
    }
    int status = Integer.parseInt(line.split(" ")[1]);
    Map<String, String> headers = Server.readHeaders(in);
    return new Answer(status, headers, Server.readBody(in, headers));
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
