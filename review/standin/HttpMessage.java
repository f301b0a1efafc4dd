import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.TreeMap;

/** A request or response of HTTP/1.1, read from a connection. */
final class HttpMessage {

  /** First line: the request line or the status line. */
  final String startLine;

  final TreeMap<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
  byte[] body = new byte[0];

  private HttpMessage(String startLine) {
    this.startLine = startLine;
  }

  /** Reads a head; returns null if the connection ends before its first byte. */
  static HttpMessage readHead(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    HttpMessage message = new HttpMessage(line);
    while (true) {
      line = readLine(in);
      if (line == null) {
        throw new EOFException("connection ended within a head");
      }
      if (line.isEmpty()) {
        return message;
      }
      int colon = line.indexOf(':');
      message.headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
    }
  }

  /** Reads a complete message with a length, or in chunks; without either the body is empty. */
  static HttpMessage read(InputStream in) throws IOException {
    HttpMessage message = readHead(in);
    if (message != null) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      byte[] part;
      BodyReader reader = message.bodyReader(in);
      while ((part = reader.next()) != null) {
        all.write(part);
      }
      message.body = all.toByteArray();
    }
    return message;
  }

  BodyReader bodyReader(InputStream in) {
    boolean chunked = header("Transfer-Encoding", "").equalsIgnoreCase("chunked");
    return new BodyReader(in, chunked, Integer.parseInt(header("Content-Length", "0")));
  }

  String header(String name, String otherwise) {
    return headers.getOrDefault(name, otherwise);
  }

  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  String method() {
    return startLine.split(" ")[0];
  }

  String path() {
    String target = startLine.split(" ")[1];
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  String query(String name, String otherwise) {
    String target = startLine.split(" ")[1];
    int query = target.indexOf('?');
    if (query >= 0) {
      for (String pair : target.substring(query + 1).split("&")) {
        int equals = pair.indexOf('=');
        if (equals > 0 && pair.substring(0, equals).equals(name)) {
          return URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8);
        }
      }
    }
    return otherwise;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int b;
    while ((b = in.read()) >= 0 && b != '\n') {
      if (b != '\r') {
        line.write(b);
      }
    }
    return b < 0 && line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads the parts of a body. */
  static final class BodyReader {

    private final InputStream in;
    private final boolean chunked;
    private int left;

    BodyReader(InputStream in, boolean chunked, int length) {
      this.in = in;
      this.chunked = chunked;
      this.left = length;
    }

    /** Returns the next part, null after the last one; throws if the connection ends before. */
    byte[] next() throws IOException {
      if (chunked) {
        String size = readLine(in);
        if (size == null) {
          throw new EOFException("connection ended within a body");
        }
        byte[] part = readFully(Integer.parseInt(size.strip(), 16));
        readLine(in);
        return part.length == 0 ? null : part;
      }
      if (left == 0) {
        return null;
      }
      byte[] part = readFully(left);
      left = 0;
      return part;
    }

    private byte[] readFully(int size) throws IOException {
      byte[] part = in.readNBytes(size);
      if (part.length < size) {
        throw new EOFException("connection ended within a body");
      }
      return part;
    }
  }
}
