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
 * Stand-in for the origin of weights behind one rate-limited link.
 *
 * <p>The contents of a version follow from its seed; a share of its chunks may be taken over from
 * the version before.
 */
public final class OriginStandin extends HttpStandin<OriginStandin.Faults> {

  private final Map<String, Manifest> manifestsByVersion = new ConcurrentHashMap<>();
  private final Map<String, byte[]> chunksByDigest = new ConcurrentHashMap<>();
  private final Map<String, byte[]> contentByVersion = new ConcurrentHashMap<>();
  private final AtomicLong sentBytes = new AtomicLong();
  private final AtomicLong refusedChunkReads = new AtomicLong();
  private final Random random = new Random(1);
  private final LinkLimiter linkLimiter;

  /** Starts on a port of the loopback interface; a rate of 0 means no limit. */
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

  private Publisher<Void> publish(HttpServerRequest q, HttpServerResponse s) {
    String model = Json.queryParameter(q, "model", "model");
    String version = Json.queryParameter(q, "version", "v1");
    int size = Integer.parseInt(Json.queryParameter(q, "bytes", "1048576"));
    int chunkBytes = Integer.parseInt(Json.queryParameter(q, "chunkBytes", "65536"));
    String base = Json.queryParameter(q, "base", "");
    double changed = Double.parseDouble(Json.queryParameter(q, "changed", "1.0"));
    byte[] content = new byte[size];
    new Random((model + version).hashCode()).nextBytes(content);
    byte[] old = contentByVersion.get(model + ":" + base);
    if (old != null) {
      int kept = Math.min(old.length, (int) (size * (1 - changed)) / chunkBytes * chunkBytes);
      System.arraycopy(old, 0, content, 0, kept);
    }
    Manifest m = Manifest.of(model, version, content, chunkBytes);
    contentByVersion.put(model + ":" + version, content);
    for (int i = 0; i < m.chunks().size(); i++) {
      byte[] c = new byte[m.sizeOf(i)];
      System.arraycopy(content, i * chunkBytes, c, 0, c.length);
      chunksByDigest.put(m.chunks().get(i), c);
    }
    manifestsByVersion.put(model + ":" + version, m);
    return Json.send(s, 200, Map.of("digest", m.digest(), "chunks", m.chunks().size()));
  }

  private Publisher<Void> sendManifest(HttpServerRequest q, HttpServerResponse s) {
    String fleet = q.param("fleet");
    String model = fleet == null ? q.param("model") : fleet + "/" + q.param("model");
    Manifest m = manifestsByVersion.get(model + ":" + q.param("version"));
    if (m == null || faults().refuse) {
      return Json.send(s, m == null ? 404 : 503, Map.of("error", "no such version, or refused"));
    }
    return s.sendObject(Unpooled.copiedBuffer(m.text(), StandardCharsets.UTF_8)).then();
  }

  private Publisher<Void> sendChunk(HttpServerRequest q, HttpServerResponse s) {
    byte[] c = chunksByDigest.get(q.param("digest"));
    if (c == null || faults().refuse) {
      refusedChunkReads.incrementAndGet();
      return Json.send(s, c == null ? 404 : 503, Map.of("error", "no such chunk, or refused"));
    }
    byte[] sent = c;
    synchronized (random) {
      if (random.nextDouble() < faults().corruptShare) {
        sent = c.clone();
        sent[random.nextInt(sent.length)] ^= 1;
      }
    }
    sentBytes.addAndGet(sent.length);
    long nanos =
        linkLimiter.reserve(sent.length) + Duration.ofMillis(faults().stallMillis).toNanos();
    return Mono.delay(Duration.ofNanos(nanos))
        .then(s.sendObject(Unpooled.wrappedBuffer(sent)).then());
  }

  private Map<String, Long> stats() {
    return Map.of("bytes", sentBytes.get(), "refused", refusedChunkReads.get());
  }

  /**
   * Faults, changeable at run time.
   *
   * @param corruptShare share of chunks sent with one bit flipped
   * @param refuse whether every read is refused
   * @param stallMillis delay added to every chunk
   */
  public record Faults(double corruptShare, boolean refuse, long stallMillis) {}
}
