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
 * Stand-in for a model engine: batches continuously, caches prompt prefixes, starts cold.
 *
 * <p>It computes the manifest of what it was given itself, and counts how often each request ran
 * and how often it was given more than it said it can carry.
 */
public final class EngineStandin extends HttpStandin<EngineStandin.Faults> {

  private static final int PREFIX_CHARS = 256;
  private static final int PREFIXES_CACHED = 32;
  private static final double CACHED_PREFILL = 0.2;
  private static final double OVERLOAD_SLOWDOWN = 4.0;

  private final Options options;
  private final Map<String, Integer> ran = new TreeMap<>();
  private final Map<String, Boolean> prefixes =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > PREFIXES_CACHED;
        }
      };
  private String boot = UUID.randomUUID().toString();
  private String model = "";
  private String manifest = "";
  private long fence;
  private int inFlight;
  private int completed;
  private int overAdmitted;
  private int cacheHits;
  private int started;
  private long tokens;
  private long reportedAt;
  private int reportedCapacity;

  /**
   * Starts on a port of the loopback interface.
   *
   * @param port the port
   * @param options speeds and sizes
   */
  public EngineStandin(int port, Options options) {
    super(new Faults(1.0, 0), Faults.class);
    this.options = options;
    listen(
        port,
        r ->
            r.get("/engine/status", (q, s) -> Json.send(s, 200, status()))
                .post("/engine/load", this::load)
                .post("/v1/chat/completions", this::complete)
                .post("/v1/completions", this::complete)
                .get("/stats", (q, s) -> Json.send(s, 200, stats()))
                .post("/restart", (q, s) -> restart(s, true))
                .post("/turn-cold", (q, s) -> restart(s, false)));
  }

  private Publisher<Void> load(HttpServerRequest q, HttpServerResponse s) {
    long number = Long.parseLong(Json.query(q, "fence", "0"));
    String name = Json.query(q, "model", "");
    String version = Json.query(q, "version", "");
    int chunkBytes = Integer.parseInt(Json.query(q, "chunkBytes", "1"));
    synchronized (this) {
      if (options.checksFence && number <= fence) {
        return q.receive()
            .then(Json.send(s, 409, Map.of("error", "old fencing number", "fence", fence)));
      }
      fence = number;
      manifest = "";
      model = "";
    }
    return q.receive()
        .aggregate()
        .asByteArray()
        .delayElement(Duration.ofMillis(options.loadMillis))
        .flatMap(
            bytes -> {
              Manifest m = Manifest.of(name, version, bytes, chunkBytes);
              synchronized (this) {
                if (fence == number) {
                  model = name;
                  manifest = m.digest();
                  completed = 0;
                  prefixes.clear();
                }
              }
              return Json.send(s, 200, Map.of("manifest", m.digest()));
            });
  }

  private Publisher<Void> complete(HttpServerRequest q, HttpServerResponse s) {
    int resume = Integer.parseInt(q.requestHeaders().get("X-Resume-After", "0"));
    String id = q.requestHeaders().get("X-Request-Id", "");
    return Json.read(q, JsonNode.class).flatMap(body -> generate(s, body, id, resume));
  }

  private Mono<Void> generate(HttpServerResponse s, JsonNode body, String id, int resume) {
    String prompt =
        body.has("messages") ? body.path("messages").toString() : body.path("prompt").asText();
    int count = body.path("max_tokens").asInt(16);
    String loaded;
    long prefill;
    synchronized (this) {
      if (manifest.isEmpty()) {
        return Json.send(s, 503, Map.of("error", "no weights are loaded"));
      }
      loaded = manifest;
      inFlight++;
      started++;
      ran.merge(id, 1, Integer::sum);
      if (inFlight > capacity()) {
        overAdmitted++;
      }
      prefill = prefillMillis(prompt);
    }
    s.header("X-Manifest", loaded);
    Flux<Integer> indexes =
        Flux.range(resume, Math.max(0, count - resume))
            .concatMap(i -> Mono.delay(gap(i == resume ? prefill : 0)).thenReturn(i), 1);
    // The place is free once the last token is generated, before the answer's end is sent.
    AtomicBoolean ended = new AtomicBoolean();
    Flux<Integer> tracked = indexes.doFinally(x -> finished(ended));
    return body.path("stream").asBoolean()
        ? stream(s, tracked, prompt, loaded)
        : tracked.then(Mono.defer(() -> Json.send(s, 200, answer(prompt, loaded, count))));
  }

  private Mono<Void> stream(
      HttpServerResponse s, Flux<Integer> indexes, String prompt, String loaded) {
    Flux<ByteBuf> events =
        indexes
            .map(i -> event(TokenText.token(prompt, loaded, i)))
            .concatWith(Mono.fromSupplier(() -> copy("data: [DONE]\n\n")));
    if (faults().breakAfter > 0) {
      events =
          events
              .take(faults().breakAfter)
              .concatWith(Mono.error(new IllegalStateException("broken off")));
    }
    return s.header("Content-Type", "text/event-stream").send(events, b -> true).then();
  }

  private synchronized void finished(AtomicBoolean ended) {
    if (ended.compareAndSet(false, true)) {
      inFlight--;
      completed++;
    }
  }

  private synchronized int capacity() {
    return Math.min(options.warmCapacity, options.coldCapacity + completed / options.perStep);
  }

  private synchronized long prefillMillis(String prompt) {
    String prefix = prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length()));
    boolean hit = prefixes.put(prefix, true) != null;
    cacheHits += hit ? 1 : 0;
    return (long) (options.prefillMillis * (hit ? CACHED_PREFILL : 1.0));
  }

  /** Returns the time to the next token; an overloaded engine falls over by becoming slow. */
  private synchronized Duration gap(long prefill) {
    double slow = inFlight > capacity() ? OVERLOAD_SLOWDOWN : 1.0;
    tokens++;
    long micros = (long) ((prefill * 1_000 + options.tokenMicros) * slow * faults().slowdown);
    return Duration.ofNanos(micros * 1_000);
  }

  private synchronized Map<String, Object> status() {
    long now = System.nanoTime() / 1_000_000;
    if (now - reportedAt >= options.reportLagMillis) {
      reportedAt = now;
      reportedCapacity = capacity();
    }
    Map<String, Object> s = new TreeMap<>();
    s.put("boot", boot);
    s.put("model", model);
    s.put("manifest", manifest);
    s.put("fence", fence);
    s.put("capacity", options.reportsLoad ? reportedCapacity : 0);
    s.put("running", inFlight);
    return s;
  }

  private synchronized Map<String, Object> stats() {
    int twice = 0;
    for (int n : ran.values()) {
      twice += n > 1 ? 1 : 0;
    }
    Map<String, Object> s = new TreeMap<>();
    s.put("started", started);
    s.put("completed", completed);
    s.put("overAdmitted", overAdmitted);
    s.put("cacheHits", cacheHits);
    s.put("inFlight", inFlight);
    s.put("ranTwice", twice);
    s.put("tokens", tokens);
    s.put("manifest", manifest);
    return s;
  }

  private synchronized Mono<Void> restart(HttpServerResponse s, boolean announced) {
    completed = 0;
    prefixes.clear();
    if (announced) {
      boot = UUID.randomUUID().toString();
      model = "";
      manifest = "";
      fence = 0;
    }
    return Json.send(s, 200, Map.of("cold", true));
  }

  private static Map<String, Object> answer(String prompt, String manifest, int count) {
    return Map.of(
        "object",
        "text_completion",
        "manifest",
        manifest,
        "text",
        TokenText.text(prompt, manifest, count));
  }

  private static ByteBuf event(String token) {
    return copy("data: {\"text\":\"" + token + "\"}\n\n");
  }

  private static ByteBuf copy(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }

  /**
   * Speeds and sizes.
   *
   * @param tokenMicros time between tokens
   * @param prefillMillis time to the first token of a prompt that is not cached
   * @param coldCapacity requests carried at once after a start
   * @param warmCapacity requests carried at once when warm
   * @param perStep completed requests by which the capacity grows by one
   * @param loadMillis time to load weights
   * @param reportLagMillis age that a reported capacity may have
   * @param checksFence whether old fencing numbers are refused
   * @param reportsLoad whether the capacity is reported at all
   */
  public record Options(
      long tokenMicros,
      long prefillMillis,
      int coldCapacity,
      int warmCapacity,
      int perStep,
      long loadMillis,
      long reportLagMillis,
      boolean checksFence,
      boolean reportsLoad) {}

  /**
   * Faults, changeable at run time.
   *
   * @param slowdown factor on every time
   * @param breakAfter events after which a stream is broken off, 0 for never
   */
  public record Faults(double slowdown, int breakAfter) {}
}
