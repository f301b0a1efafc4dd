import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client that sends each request on a new connection and doesn't repeat it. */
final class Client {

  private Client() {}

  /**
   * Sends a request and reads the whole answer.
   *
   * @return the outcome, such as "200 whole", "503" or "closed"
   */
  static String call(
      String address,
      String method,
      String target,
      Map<String, String> headers,
      byte[] body,
      int timeoutMillis) {
    int colon = address.indexOf(':');
    String status = "closed";
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          1_000);
      socket.setSoTimeout(timeoutMillis);
      socket.setTcpNoDelay(true);
      StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
      headers.forEach((k, v) -> head.append(k + ": " + v + "\r\n"));
      head.append("Content-Length: " + body.length + "\r\n\r\n");
      byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
      byte[] message = new byte[headBytes.length + body.length];
      System.arraycopy(headBytes, 0, message, 0, headBytes.length);
      System.arraycopy(body, 0, message, headBytes.length, body.length);
      socket.getOutputStream().write(message);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      HttpMessage answer = HttpMessage.readHead(in);
      if (answer == null) {
        return status;
      }
      status = answer.status() + " broken off";
      HttpMessage.BodyReader reader = answer.bodyReader(in);
      while (reader.next() != null) {
        // Each part is read as it comes.
      }
      return answer.status() + (answer.status() == 200 ? " whole" : "");
    } catch (IOException e) {
      return status + " (" + e.getMessage() + ")";
    }
  }

  /** Returns whether an entry says that it is ready. */
  static boolean isReady(String address) {
    return call(address, "GET", "/api/readiness", Map.of("Host", address), new byte[0], 1_000)
        .startsWith("200");
  }
}
