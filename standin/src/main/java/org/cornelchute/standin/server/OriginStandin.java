package org.cornelchute.standin.server;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.cornelchute.net.util.LinkLimiter;
import org.cornelchute.policy.weights.Manifest;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Stand-in for the origin of model weights, behind one rate-limited link.
 *
 * <p>The content of a version is pseudo-random, seeded by model and version. A version can reuse
 * the leading chunks of a base version.
 */
public final class OriginStandin extends HttpStandin<OriginStandin.Faults> {

  private final Map<String, Manifest> manifestsByVersion = new ConcurrentHashMap<>();
  private final Map<String, byte[]> chunksByDigest = new ConcurrentHashMap<>();
  private final Map<String, byte[]> contentByVersion = new ConcurrentHashMap<>();
  private final AtomicLong sentBytes = new AtomicLong();
  private final AtomicLong refusedChunkReads = new AtomicLong();
  private final Random random = new Random(1);
  private final LinkLimiter linkLimiter;

  /** Starts the server on the loopback interface; a rate of 0 means no limit. */
  public OriginStandin(int port, long bytesPerSecond) {
    super(new Faults(0, false, 0), Faults.class);
    this.linkLimiter = new LinkLimiter(bytesPerSecond);
    listen(
        port,
        r ->
            r.post("/publish", this::publish)
                .get("/weights/{fleet}/{model}/{version}/manifest", this::sendManifest)
                .get("/weights/{model}/{version}/manifest", this::sendManifest)
                .get("/chunks/{digest}", this::sendChunk)
                .get("/stats", (q, s) -> Json.send(s, 200, stats())));
  }

  private Publisher<Void> publish(HttpServerRequest request, HttpServerResponse response) {
    String model = Json.queryParameter(request, "model", "model");
    String version = Json.queryParameter(request, "version", "v1");
    int totalBytes = Integer.parseInt(Json.queryParameter(request, "bytes", "1048576"));
    int chunkBytes = Integer.parseInt(Json.queryParameter(request, "chunkBytes", "65536"));
    String base = Json.queryParameter(request, "base", "");
    double changedShare = Double.parseDouble(Json.queryParameter(request, "changed", "1.0"));
    byte[] content = new byte[totalBytes];
    new Random((model + version).hashCode()).nextBytes(content);
    byte[] baseContent = contentByVersion.get(model + ":" + base);
    if (baseContent != null) {
      int unchangedBytes =
          Math.min(
              baseContent.length,
              (int) (totalBytes * (1 - changedShare)) / chunkBytes * chunkBytes);
      System.arraycopy(baseContent, 0, content, 0, unchangedBytes);
    }
    Manifest manifest = Manifest.of(model, version, content, chunkBytes);
    contentByVersion.put(model + ":" + version, content);
    for (int i = 0; i < manifest.chunks().size(); i++) {
      byte[] chunk = new byte[manifest.sizeOf(i)];
      System.arraycopy(content, i * chunkBytes, chunk, 0, chunk.length);
      chunksByDigest.put(manifest.chunks().get(i), chunk);
    }
    manifestsByVersion.put(model + ":" + version, manifest);
    return Json.send(
        response, 200, Map.of("digest", manifest.digest(), "chunks", manifest.chunks().size()));
  }

  private Publisher<Void> sendManifest(HttpServerRequest request, HttpServerResponse response) {
    String fleet = request.param("fleet");
    String model = fleet == null ? request.param("model") : fleet + "/" + request.param("model");
    Manifest manifest = manifestsByVersion.get(model + ":" + request.param("version"));
    if (manifest == null || faults().refuse) {
      return Json.send(
          response,
          manifest == null ? 404 : 503,
          Map.of("error", "version not found, or read refused by an injected fault"));
    }
    return response
        .sendObject(Unpooled.copiedBuffer(manifest.text(), StandardCharsets.UTF_8))
        .then();
  }

  private Publisher<Void> sendChunk(HttpServerRequest request, HttpServerResponse response) {
    byte[] chunk = chunksByDigest.get(request.param("digest"));
    if (chunk == null || faults().refuse) {
      refusedChunkReads.incrementAndGet();
      return Json.send(
          response,
          chunk == null ? 404 : 503,
          Map.of("error", "chunk not found, or read refused by an injected fault"));
    }
    byte[] payload = chunk;
    synchronized (random) {
      if (random.nextDouble() < faults().corruptShare) {
        payload = chunk.clone();
        payload[random.nextInt(payload.length)] ^= 1;
      }
    }
    sentBytes.addAndGet(payload.length);
    long delayNanos =
        linkLimiter.reserve(payload.length) + Duration.ofMillis(faults().stallMillis).toNanos();
    return Mono.delay(Duration.ofNanos(delayNanos))
        .then(response.sendObject(Unpooled.wrappedBuffer(payload)).then());
  }

  private Map<String, Long> stats() {
    return Map.of("bytes", sentBytes.get(), "refused", refusedChunkReads.get());
  }

  /**
   * Injected faults, which can be changed at run time.
   *
   * @param corruptShare share of chunks that are sent with one bit flipped
   * @param refuse whether every read is refused
   * @param stallMillis delay added to every chunk
   */
  public record Faults(double corruptShare, boolean refuse, long stallMillis) {}
}
