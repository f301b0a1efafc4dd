package org.cornelchute.policy.weights;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cornelchute.core.outcome.Failure;

/**
 * Immutable description of one version of a model: its chunks by content.
 *
 * <p>The text form is one header line {@code model version bytes chunkBytes} and one line with the
 * SHA-256 of each chunk. A manifest is named by the SHA-256 of that text, so that equal names mean
 * equal weights wherever they came from.
 *
 * @param digest SHA-256 of the text form, lower-case hex
 * @param model resolved name of the model
 * @param version label at the origin
 * @param bytes size of the weights
 * @param chunkBytes size of every chunk but the last
 * @param chunks SHA-256 of each chunk, lower-case hex
 */
public record Manifest(
    String digest, String model, String version, long bytes, int chunkBytes, List<String> chunks) {

  private static final int MAX_CHUNKS = 1 << 20;
  private static final int MAX_CHUNK_BYTES = 1 << 26;

  /** Describes weights that are at hand, such as those an origin publishes. */
  public static Manifest of(String model, String version, byte[] weights, int chunkBytes) {
    List<String> chunks = new ArrayList<>();
    for (int at = 0; at < weights.length; at += chunkBytes) {
      int end = Math.min(weights.length, at + chunkBytes);
      chunks.add(Digests.sha256(weights, at, end - at));
    }
    Manifest m = new Manifest("", model, version, weights.length, chunkBytes, chunks);
    byte[] text = m.text().getBytes(StandardCharsets.UTF_8);
    return new Manifest(
        Digests.sha256(text), model, version, weights.length, chunkBytes, List.copyOf(chunks));
  }

  /** Describes weights by the digests of their chunks, which are all of one size. */
  public static Either<Failure, Manifest> ofDigests(
      String model, String version, int chunkBytes, List<String> digests) {
    Manifest m =
        new Manifest("", model, version, (long) chunkBytes * digests.size(), chunkBytes, digests);
    return parse(m.text());
  }

  /** Parses the text form and checks it. */
  public static Either<Failure, Manifest> parse(String text) {
    String[] lines = text.split("\n");
    String[] head = lines[0].split(" ");
    if (head.length != 4) {
      return Either.left(Failure.invalid("manifest header must have four fields"));
    }
    try {
      long bytes = Long.parseLong(head[2]);
      int chunkBytes = Integer.parseInt(head[3]);
      if (bytes < 1 || chunkBytes < 1 || chunkBytes > MAX_CHUNK_BYTES) {
        return Either.left(Failure.invalid("manifest sizes are out of range"));
      }
      long count = (bytes + chunkBytes - 1) / chunkBytes;
      if (count > MAX_CHUNKS || lines.length != count + 1) {
        return Either.left(
            Failure.invalid("manifest lists " + (lines.length - 1) + " chunks, not " + count));
      }
      List<String> chunks = List.of(lines).subList(1, lines.length);
      for (String c : chunks) {
        if (!c.matches("[0-9a-f]{64}")) {
          return Either.left(Failure.invalid("manifest has a malformed chunk digest"));
        }
      }
      String digest = Digests.sha256(text.getBytes(StandardCharsets.UTF_8));
      return Either.right(
          new Manifest(digest, head[0], head[1], bytes, chunkBytes, List.copyOf(chunks)));
    } catch (NumberFormatException e) {
      return Either.left(Failure.invalid("manifest sizes are not numbers"));
    }
  }

  /** Returns the text form. */
  public String text() {
    StringBuilder b = new StringBuilder(80 + 65 * chunks.size());
    b.append(model).append(' ').append(version).append(' ');
    b.append(bytes).append(' ').append(chunkBytes).append('\n');
    for (String c : chunks) {
      b.append(c).append('\n');
    }
    return b.toString();
  }

  /** Returns the size of a chunk in bytes. */
  public int sizeOf(int chunk) {
    return (int) Math.min(chunkBytes, bytes - (long) chunk * chunkBytes);
  }

  /** Returns whether bytes are the content of a chunk. */
  public boolean verifies(int chunk, byte[] content) {
    return chunk >= 0
        && chunk < chunks.size()
        && content.length == sizeOf(chunk)
        && Digests.sha256(content).equals(chunks.get(chunk));
  }
}
