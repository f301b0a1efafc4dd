import java.io.IOException;
import java.io.OutputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The origin of weights as PROTOCOL.md describes it; always sound. */
final class OriginStandin {

  private static final double LINK_BYTES_PER_MILLI = 7.3e6 / 8 / 1_000;

  private final HttpListener listener;
  private long linkFreeAt;

  OriginStandin() throws IOException {
    listener = new HttpListener("127.0.0.1", this::handle);
  }

  String address() {
    return listener.address();
  }

  /** Returns the bytes of a piece of a version. */
  static byte[] piece(long version, int index) {
    byte[] bytes = new byte[ReplicaStandin.CHUNK_BYTES];
    new Random(version * 1_000_003 + index).nextBytes(bytes);
    return bytes;
  }

  private boolean handle(HttpMessage request, OutputStream out) throws IOException {
    long version = Long.parseLong(request.query("version", "1"));
    if (request.path().startsWith("/api/manifest/")) {
      List<Object> digests = new ArrayList<>();
      for (int i = 0; i < ReplicaStandin.CHUNKS; i++) {
        digests.add(sha256(piece(version, i)));
      }
      HttpListener.respondJson(
          out,
          200,
          Json.map(
              "model", Deployment.MODEL,
              "version", version,
              "chunkBytes", ReplicaStandin.CHUNK_BYTES,
              "layers", 16,
              "digests", digests));
    } else {
      waitForLink();
      int index = Integer.parseInt(request.query("itemCount", "0"));
      HttpListener.respond(out, 200, Map.of(), piece(version, index));
    }
    return !request.header("Connection", "").equalsIgnoreCase("close");
  }

  private void waitForLink() {
    long now = System.nanoTime() / 1_000_000;
    long sendAt;
    synchronized (this) {
      sendAt = Math.max(now, linkFreeAt);
      linkFreeAt = sendAt + Math.round(ReplicaStandin.CHUNK_BYTES / LINK_BYTES_PER_MILLI);
    }
    Threads.sleep(sendAt - now);
  }

  private static String sha256(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
