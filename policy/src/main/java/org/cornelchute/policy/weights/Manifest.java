package org.cornelchute.policy.weights;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cornelchute.core.outcome.Failure;

/**
 * Immutable description of one version of a model: the sizes and digests of its chunks.
 *
 * <p>The text form is a header line {@code model version bytes chunkBytes} followed by one line per
 * chunk with its SHA-256. A manifest is identified by the SHA-256 of that text, so equal digests
 * mean equal weights regardless of their source.
 *
 * @param digest SHA-256 of the text form, lower-case hex
 * @param model resolved name of the model
 * @param version version label at the origin
 * @param bytes size of the weights in bytes
 * @param chunkBytes size in bytes of every chunk but the last
 * @param chunks SHA-256 of each chunk, lower-case hex
 * @param layers number of layers that engines can load separately, at least 1; not part of the text
 *     form
 */
public record Manifest(
    String digest,
    String model,
    String version,
    long bytes,
    int chunkBytes,
    List<String> chunks,
    int layers) {

  private static final int MAX_CHUNKS = 1 << 20;
  private static final int MAX_CHUNK_BYTES = 1 << 26;

  /** Creates the manifest of weights held in memory, such as those that an origin publishes. */
  public static Manifest of(String model, String version, byte[] weights, int chunkBytes) {
    List<String> chunks = new ArrayList<>();
    for (int offset = 0; offset < weights.length; offset += chunkBytes) {
      int end = Math.min(weights.length, offset + chunkBytes);
      chunks.add(Digests.sha256(weights, offset, end - offset));
    }
    Manifest undigested = new Manifest("", model, version, weights.length, chunkBytes, chunks, 1);
    byte[] text = undigested.text().getBytes(StandardCharsets.UTF_8);
    return new Manifest(
        Digests.sha256(text), model, version, weights.length, chunkBytes, List.copyOf(chunks), 1);
  }

  /** Creates a manifest from the digests of chunks of equal size. */
  public static Either<Failure, Manifest> ofDigests(
      String model, String version, int chunkBytes, List<String> digests) {
    Manifest undigested =
        new Manifest(
            "", model, version, (long) chunkBytes * digests.size(), chunkBytes, digests, 1);
    return parse(undigested.text());
  }

  /** Parses and validates the text form. */
  public static Either<Failure, Manifest> parse(String text) {
    String[] lines = text.split("\n");
    String[] head = lines[0].split(" ");
    if (head.length != 4) {
      return Either.left(
          Failure.invalid(
              "manifest header must have 4 fields (model version bytes chunkBytes), got "
                  + head.length));
    }
    try {
      long bytes = Long.parseLong(head[2]);
      int chunkBytes = Integer.parseInt(head[3]);
      if (bytes < 1 || chunkBytes < 1 || chunkBytes > MAX_CHUNK_BYTES) {
        return Either.left(
            Failure.invalid(
                "manifest sizes are out of range: "
                    + bytes
                    + " bytes in chunks of "
                    + chunkBytes
                    + " bytes (both at least 1, chunks at most "
                    + MAX_CHUNK_BYTES
                    + " bytes)"));
      }
      long count = (bytes - 1) / chunkBytes + 1;
      if (count > MAX_CHUNKS) {
        return Either.left(
            Failure.invalid("manifest sizes mean more than " + MAX_CHUNKS + " chunks: " + count));
      }
      if (lines.length != count + 1) {
        return Either.left(
            Failure.invalid("manifest lists " + (lines.length - 1) + " chunks, not " + count));
      }
      List<String> chunks = List.of(lines).subList(1, lines.length);
      for (String c : chunks) {
        if (!c.matches("[0-9a-f]{64}")) {
          return Either.left(
              Failure.invalid("manifest has a chunk digest that is not 64 lower-case hex digits"));
        }
      }
      String digest = Digests.sha256(text.getBytes(StandardCharsets.UTF_8));
      return Either.right(
          new Manifest(digest, head[0], head[1], bytes, chunkBytes, List.copyOf(chunks), 1));
    } catch (NumberFormatException e) {
      return Either.left(Failure.invalid("manifest sizes (bytes chunkBytes) are not integers"));
    }
  }

  /** Returns the same manifest for weights of a number of layers. */
  public Manifest withLayers(int count) {
    return new Manifest(digest, model, version, bytes, chunkBytes, chunks, count);
  }

  /** Returns the index of the first chunk that a layer needs. */
  public int firstChunkOf(int layer) {
    return (int) ((long) layer * chunks.size() / layers);
  }

  /** Returns the index after the last chunk that a layer needs; layers may share a chunk. */
  public int chunkAfter(int layer) {
    return (int) (((long) (layer + 1) * chunks.size() + layers - 1) / layers);
  }

  /** Returns the text form. */
  public String text() {
    StringBuilder text = new StringBuilder(80 + 65 * chunks.size());
    text.append(model).append(' ').append(version).append(' ');
    text.append(bytes).append(' ').append(chunkBytes).append('\n');
    for (String c : chunks) {
      text.append(c).append('\n');
    }
    return text.toString();
  }

  /** Returns the size in bytes of the chunk with an index. */
  public int sizeOf(int chunk) {
    return (int) Math.min(chunkBytes, bytes - (long) chunk * chunkBytes);
  }

  /** Returns whether content has the size and digest of the chunk with an index. */
  public boolean verifies(int chunk, byte[] content) {
    return chunk >= 0
        && chunk < chunks.size()
        && content.length == sizeOf(chunk)
        && Digests.sha256(content).equals(chunks.get(chunk));
  }
}
