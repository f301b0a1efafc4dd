package org.cornelchute.standin.server;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cornelchute.policy.weights.Manifest;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Stand-in for a model engine with continuous batching and a prefix cache. After a start its
 * capacity is low and grows with completed requests.
 *
 * <p>The engine computes the manifest from the bytes it receives, so that its status shows
 * incorrect weights. It counts the requests that ran more than once and those that exceeded its
 * capacity.
 */
public final class EngineStandin extends HttpStandin<EngineStandin.Faults> {

  private static final int PREFIX_CHARS = 256;
  private static final int MAX_CACHED_PREFIXES = 32;
  private static final double CACHED_PREFILL_FACTOR = 0.2;
  private static final double OVERLOAD_SLOWDOWN_FACTOR = 4.0;

  private final Options options;
  private final Map<String, Integer> runsByRequestId = new TreeMap<>();
  private final Map<String, Boolean> cachedPrefixes =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MAX_CACHED_PREFIXES;
        }
      };
  private String boot = UUID.randomUUID().toString();
  private String model = "";
  private String manifest = "";
  private long fencingNumber;
  private int inFlight;
  private int completedCount;
  private int overAdmitted;
  private int cacheHits;
  private int startedCount;
  private long generatedTokens;
  private long capacityReportedAt;
  private int reportedCapacity;

  /**
   * Starts the server on the loopback interface.
   *
   * @param port TCP port
   * @param options latencies and capacities
   */
  public EngineStandin(int port, Options options) {
    super(new Faults(1.0, 0), Faults.class);
    this.options = options;
    listen(
        port,
        r ->
            r.get("/engine/status", (q, s) -> Json.send(s, 200, status()))
                .post("/engine/load", this::loadWeights)
                .post("/v1/chat/completions", this::handleCompletion)
                .post("/v1/completions", this::handleCompletion)
                .get("/stats", (q, s) -> Json.send(s, 200, stats()))
                .post("/restart", (q, s) -> restart(s, true))
                .post("/turn-cold", (q, s) -> restart(s, false)));
  }

  private Publisher<Void> loadWeights(HttpServerRequest request, HttpServerResponse response) {
    long newFencingNumber = Long.parseLong(Json.queryParameter(request, "fence", "0"));
    String newModel = Json.queryParameter(request, "model", "");
    String version = Json.queryParameter(request, "version", "");
    int chunkBytes = Integer.parseInt(Json.queryParameter(request, "chunkBytes", "1"));
    synchronized (this) {
      if (options.checksFencingNumber && newFencingNumber <= fencingNumber) {
        return request
            .receive()
            .then(
                Json.send(
                    response,
                    409,
                    Map.of("error", "stale fencing number", "fence", fencingNumber)));
      }
      fencingNumber = newFencingNumber;
      manifest = "";
      model = "";
    }
    return request
        .receive()
        .aggregate()
        .asByteArray()
        .delayElement(Duration.ofMillis(options.loadMillis))
        .flatMap(
            bytes -> {
              Manifest loadedManifest = Manifest.of(newModel, version, bytes, chunkBytes);
              synchronized (this) {
                if (fencingNumber == newFencingNumber) {
                  model = newModel;
                  manifest = loadedManifest.digest();
                  completedCount = 0;
                  cachedPrefixes.clear();
                }
              }
              return Json.send(response, 200, Map.of("manifest", loadedManifest.digest()));
            });
  }

  private Publisher<Void> handleCompletion(HttpServerRequest request, HttpServerResponse response) {
    int firstToken = Integer.parseInt(request.requestHeaders().get("X-Resume-After", "0"));
    String requestId = request.requestHeaders().get("X-Request-Id", "");
    return Json.read(request, JsonNode.class)
        .flatMap(body -> generate(response, body, requestId, firstToken));
  }

  private Mono<Void> generate(
      HttpServerResponse response, JsonNode body, String requestId, int firstToken) {
    String prompt =
        body.has("messages") ? body.path("messages").toString() : body.path("prompt").asText();
    int tokenCount = body.path("max_tokens").asInt(16);
    String servingManifest;
    long prefillMillis;
    synchronized (this) {
      if (manifest.isEmpty()) {
        return Json.send(response, 503, Map.of("error", "no weights are loaded"));
      }
      servingManifest = manifest;
      inFlight++;
      startedCount++;
      runsByRequestId.merge(requestId, 1, Integer::sum);
      if (inFlight > capacity()) {
        overAdmitted++;
      }
      prefillMillis = prefillMillis(prompt);
    }
    response.header("X-Manifest", servingManifest);
    Flux<Integer> tokenIndexes =
        Flux.range(firstToken, Math.max(0, tokenCount - firstToken))
            .concatMap(
                i -> Mono.delay(nextTokenDelay(i == firstToken ? prefillMillis : 0)).thenReturn(i),
                1);
    // The slot is released when the last token is generated, before the end of the response is
    // sent.
    AtomicBoolean slotReleased = new AtomicBoolean();
    Flux<Integer> trackedIndexes = tokenIndexes.doFinally(x -> releaseSlot(slotReleased));
    return body.path("stream").asBoolean()
        ? streamTokens(response, trackedIndexes, prompt, servingManifest)
        : trackedIndexes.then(
            Mono.defer(
                () ->
                    Json.send(response, 200, completionBody(prompt, servingManifest, tokenCount))));
  }

  private Mono<Void> streamTokens(
      HttpServerResponse response,
      Flux<Integer> tokenIndexes,
      String prompt,
      String servingManifest) {
    Flux<ByteBuf> events =
        tokenIndexes
            .map(i -> tokenEvent(TokenText.token(prompt, servingManifest, i)))
            .concatWith(Mono.fromSupplier(() -> utf8Buffer("data: [DONE]\n\n")));
    if (faults().breakAfter > 0) {
      events =
          events
              .take(faults().breakAfter)
              .concatWith(Mono.error(new IllegalStateException("injected fault: stream aborted")));
    }
    return response.header("Content-Type", "text/event-stream").send(events, b -> true).then();
  }

  private synchronized void releaseSlot(AtomicBoolean slotReleased) {
    if (slotReleased.compareAndSet(false, true)) {
      inFlight--;
      completedCount++;
    }
  }

  private synchronized int capacity() {
    return Math.min(
        options.warmCapacity, options.coldCapacity + completedCount / options.completionsPerStep);
  }

  private synchronized long prefillMillis(String prompt) {
    String prefix = prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length()));
    boolean hit = cachedPrefixes.put(prefix, true) != null;
    cacheHits += hit ? 1 : 0;
    return (long) (options.prefillMillis * (hit ? CACHED_PREFILL_FACTOR : 1.0));
  }

  /** Returns the time to the next token, which is longer while the engine is overloaded. */
  private synchronized Duration nextTokenDelay(long prefillMillis) {
    double overloadFactor = inFlight > capacity() ? OVERLOAD_SLOWDOWN_FACTOR : 1.0;
    generatedTokens++;
    long micros =
        (long)
            ((prefillMillis * 1_000 + options.tokenIntervalMicros)
                * overloadFactor
                * faults().slowdown);
    return Duration.ofNanos(micros * 1_000);
  }

  private synchronized Map<String, Object> status() {
    long now = System.nanoTime() / 1_000_000;
    if (now - capacityReportedAt >= options.maxReportAgeMillis) {
      capacityReportedAt = now;
      reportedCapacity = capacity();
    }
    Map<String, Object> status = new TreeMap<>();
    status.put("boot", boot);
    status.put("model", model);
    status.put("manifest", manifest);
    status.put("fence", fencingNumber);
    status.put("capacity", options.reportsCapacity ? reportedCapacity : 0);
    status.put("running", inFlight);
    return status;
  }

  private synchronized Map<String, Object> stats() {
    int ranTwice = 0;
    for (int runCount : runsByRequestId.values()) {
      ranTwice += runCount > 1 ? 1 : 0;
    }
    Map<String, Object> stats = new TreeMap<>();
    stats.put("started", startedCount);
    stats.put("completed", completedCount);
    stats.put("overAdmitted", overAdmitted);
    stats.put("cacheHits", cacheHits);
    stats.put("inFlight", inFlight);
    stats.put("ranTwice", ranTwice);
    stats.put("tokens", generatedTokens);
    stats.put("manifest", manifest);
    return stats;
  }

  private synchronized Mono<Void> restart(HttpServerResponse response, boolean newIncarnation) {
    completedCount = 0;
    cachedPrefixes.clear();
    if (newIncarnation) {
      boot = UUID.randomUUID().toString();
      model = "";
      manifest = "";
      fencingNumber = 0;
    }
    return Json.send(response, 200, Map.of("cold", true));
  }

  private static Map<String, Object> completionBody(
      String prompt, String manifest, int tokenCount) {
    return Map.of(
        "object",
        "text_completion",
        "manifest",
        manifest,
        "text",
        TokenText.text(prompt, manifest, tokenCount));
  }

  private static ByteBuf tokenEvent(String token) {
    return utf8Buffer("data: {\"text\":\"" + token + "\"}\n\n");
  }

  private static ByteBuf utf8Buffer(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }

  /**
   * Latencies and capacities.
   *
   * @param tokenIntervalMicros time between tokens
   * @param prefillMillis time to process a prompt whose prefix is not cached
   * @param coldCapacity concurrent requests directly after a start
   * @param warmCapacity maximum of concurrent requests, reached when the engine is warm
   * @param completionsPerStep number of completed requests that raise the capacity by one
   * @param loadMillis time to load weights
   * @param maxReportAgeMillis time for which a reported capacity is cached
   * @param checksFencingNumber whether loads with a stale fencing number are refused
   * @param reportsCapacity whether the status includes the capacity; otherwise it reports 0
   */
  public record Options(
      long tokenIntervalMicros,
      long prefillMillis,
      int coldCapacity,
      int warmCapacity,
      int completionsPerStep,
      long loadMillis,
      long maxReportAgeMillis,
      boolean checksFencingNumber,
      boolean reportsCapacity) {}

  /**
   * Injected faults, which can be changed at run time.
   *
   * @param slowdown factor applied to the time of each token
   * @param breakAfter number of events after which a stream is aborted, 0 for never
   */
  public record Faults(double slowdown, int breakAfter) {}
}
