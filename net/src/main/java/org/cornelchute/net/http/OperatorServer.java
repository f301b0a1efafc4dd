package org.cornelchute.net.http;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cornelchute.core.kernel.Service;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * HTTP towards operators: health, metrics, state, log level and the order to leave.
 *
 * <p>Listens on a port of its own, so that a flood of callers does not shut operators out.
 */
public final class OperatorServer implements Service {

  private static final int STATUS_OK = 200;
  private static final int STATUS_ACCEPTED = 202;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_SERVICE_UNAVAILABLE = 503;

  private final String host;
  private final int port;
  private final MetricRegistry metrics;
  private final BooleanSupplier healthy;
  private final Map<String, Supplier<Object>> pages;
  private final Runnable startLeaving;
  private final ObjectMapper mapper = new ObjectMapper();
  private DisposableServer server;

  /**
   * Creates a server.
   *
   * @param host address to listen on
   * @param port port to listen on
   * @param metrics what {@code GET /metrics} shows
   * @param healthy what {@code GET /healthz} answers
   * @param views further pages by path, each encoded as JSON
   * @param leave what {@code POST /leave} starts
   */
  public OperatorServer(
      String host,
      int port,
      MetricRegistry metrics,
      BooleanSupplier healthy,
      Map<String, Supplier<Object>> views,
      Runnable leave) {
    this.host = host;
    this.port = port;
    this.metrics = metrics;
    this.healthy = healthy;
    this.pages = Map.copyOf(views);
    this.startLeaving = leave;
  }

  @Override
  public void start() {
    server =
        HttpServer.create()
            .host(host)
            .port(port)
            .route(
                routes -> {
                  routes.get("/metrics", (q, r) -> sendJson(r, STATUS_OK, metricValues()));
                  routes.get("/healthz", (q, r) -> sendHealth(r));
                  routes.post("/leave", (q, r) -> startLeaving(r));
                  routes.post("/log-level/{logger}/{level}", this::changeLevel);
                  pages.forEach(
                      (path, view) ->
                          routes.get(path, (q, r) -> sendJson(r, STATUS_OK, view.get())));
                })
            .bindNow();
  }

  @Override
  public void close() {
    if (server != null) {
      server.disposeNow();
    }
  }

  private Mono<Void> sendHealth(HttpServerResponse r) {
    boolean up = healthy.getAsBoolean();
    return sendJson(r, up ? STATUS_OK : STATUS_SERVICE_UNAVAILABLE, Map.of("healthy", up));
  }

  private Mono<Void> startLeaving(HttpServerResponse r) {
    startLeaving.run();
    return sendJson(r, STATUS_ACCEPTED, Map.of("leaving", true));
  }

  private Mono<Void> changeLevel(HttpServerRequest q, HttpServerResponse r) {
    Level level = Level.toLevel(q.param("level"), null);
    if (level == null) {
      return sendJson(
          r,
          STATUS_BAD_REQUEST,
          Map.of("error", "level must be TRACE, DEBUG, INFO, WARN, ERROR or OFF"));
    }
    ((Logger) LoggerFactory.getLogger(q.param("logger"))).setLevel(level);
    return sendJson(r, STATUS_OK, Map.of("logger", q.param("logger"), "level", level.toString()));
  }

  private Mono<Void> sendJson(HttpServerResponse r, int status, Object value) {
    byte[] body;
    try {
      body = mapper.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("view cannot be encoded", e);
    }
    return r.status(status)
        .header("Content-Type", "application/json")
        .sendByteArray(Mono.just(body))
        .then();
  }

  private Map<String, Object> metricValues() {
    Map<String, Object> all = new TreeMap<>();
    for (Map.Entry<String, Metric> e : metrics.getMetrics().entrySet()) {
      Metric m = e.getValue();
      if (m instanceof Gauge<?> g) {
        all.put(e.getKey(), g.getValue());
      } else if (m instanceof Counter c) {
        all.put(e.getKey(), c.getCount());
      } else if (m instanceof Meter t) {
        all.put(e.getKey(), t.getCount());
      } else if (m instanceof Timer t) {
        all.put(e.getKey(), summary(t.getCount(), t.getSnapshot()));
      } else if (m instanceof Histogram h) {
        all.put(e.getKey(), summary(h.getCount(), h.getSnapshot()));
      }
    }
    return all;
  }

  private static Map<String, Object> summary(long count, Snapshot s) {
    return Map.of(
        "count", count, "p50", s.getMedian(), "p95", s.get95thPercentile(), "max", s.getMax());
  }
}
