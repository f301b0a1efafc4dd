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
 * HTTP server for operators: health, metrics, state pages, log levels and the command to leave.
 *
 * <p>It listens on a separate port, so that operators can reach the process while callers overload
 * it.
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
  private final Runnable drain;
  private final ObjectMapper mapper = new ObjectMapper();
  private DisposableServer server;

  /**
   * Creates a server.
   *
   * @param host address to listen on
   * @param port port to listen on
   * @param metrics registry shown by {@code GET /metrics}
   * @param healthy health reported by {@code GET /healthz}
   * @param pages additional pages by path, each encoded as JSON
   * @param drain action that {@code POST /leave} starts
   */
  public OperatorServer(
      String host,
      int port,
      MetricRegistry metrics,
      BooleanSupplier healthy,
      Map<String, Supplier<Object>> pages,
      Runnable drain) {
    this.host = host;
    this.port = port;
    this.metrics = metrics;
    this.healthy = healthy;
    this.pages = Map.copyOf(pages);
    this.drain = drain;
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
                  routes.post("/leave", (q, r) -> startDraining(r));
                  routes.post("/log-level/{logger}/{level}", this::changeLevel);
                  pages.forEach(
                      (path, page) ->
                          routes.get(path, (q, r) -> sendJson(r, STATUS_OK, page.get())));
                })
            .bindNow();
  }

  @Override
  public void close() {
    if (server != null) {
      server.disposeNow();
    }
  }

  private Mono<Void> sendHealth(HttpServerResponse response) {
    boolean up = healthy.getAsBoolean();
    return sendJson(response, up ? STATUS_OK : STATUS_SERVICE_UNAVAILABLE, Map.of("healthy", up));
  }

  private Mono<Void> startDraining(HttpServerResponse response) {
    drain.run();
    return sendJson(response, STATUS_ACCEPTED, Map.of("leaving", true));
  }

  private Mono<Void> changeLevel(HttpServerRequest request, HttpServerResponse response) {
    Level level = Level.toLevel(request.param("level"), null);
    if (level == null) {
      return sendJson(
          response,
          STATUS_BAD_REQUEST,
          Map.of("error", "level must be TRACE, DEBUG, INFO, WARN, ERROR or OFF"));
    }
    ((Logger) LoggerFactory.getLogger(request.param("logger"))).setLevel(level);
    return sendJson(
        response, STATUS_OK, Map.of("logger", request.param("logger"), "level", level.toString()));
  }

  private Mono<Void> sendJson(HttpServerResponse response, int status, Object value) {
    byte[] body;
    try {
      body = mapper.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("page cannot be encoded as JSON", e);
    }
    return response
        .status(status)
        .header("Content-Type", "application/json")
        .sendByteArray(Mono.just(body))
        .then();
  }

  private Map<String, Object> metricValues() {
    Map<String, Object> values = new TreeMap<>();
    for (Map.Entry<String, Metric> entry : metrics.getMetrics().entrySet()) {
      Metric metric = entry.getValue();
      if (metric instanceof Gauge<?> gauge) {
        values.put(entry.getKey(), gauge.getValue());
      } else if (metric instanceof Counter counter) {
        values.put(entry.getKey(), counter.getCount());
      } else if (metric instanceof Meter meter) {
        values.put(entry.getKey(), meter.getCount());
      } else if (metric instanceof Timer timer) {
        values.put(entry.getKey(), summary(timer.getCount(), timer.getSnapshot()));
      } else if (metric instanceof Histogram histogram) {
        values.put(entry.getKey(), summary(histogram.getCount(), histogram.getSnapshot()));
      }
    }
    return values;
  }

  private static Map<String, Object> summary(long count, Snapshot snapshot) {
    return Map.of(
        "count",
        count,
        "p50",
        snapshot.getMedian(),
        "p95",
        snapshot.get95thPercentile(),
        "max",
        snapshot.getMax());
  }
}
