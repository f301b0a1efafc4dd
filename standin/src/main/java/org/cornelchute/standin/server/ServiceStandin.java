package org.cornelchute.standin.server;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Stand-in for a plain service that counts how often each order ran, keyed by the order's text. */
public final class ServiceStandin extends HttpStandin<ServiceStandin.Faults> {

  private final Map<String, Integer> runsByOrder = new TreeMap<>();

  /** Starts the server on the loopback interface. */
  public ServiceStandin(int port) {
    super(new Faults(0, false), Faults.class);
    listen(
        port,
        r ->
            r.get("/runs", (q, s) -> Json.send(s, 200, runsByOrder()))
                .get("/stock/{item}", this::sendStock)
                .post("/confirm", this::confirmOrder));
  }

  private Publisher<Void> sendStock(HttpServerRequest request, HttpServerResponse response) {
    return withLatency(Json.send(response, 200, Map.of("item", request.param("item"), "stock", 7)));
  }

  private Publisher<Void> confirmOrder(HttpServerRequest request, HttpServerResponse response) {
    return request
        .receive()
        .aggregate()
        .asString(StandardCharsets.UTF_8)
        .defaultIfEmpty("")
        .flatMap(
            order -> {
              synchronized (runsByOrder) {
                runsByOrder.merge(order, 1, Integer::sum);
              }
              if (faults().dropAfterRun) {
                return Mono.error(new IllegalStateException("injected fault: response lost"));
              }
              return withLatency(Json.send(response, 200, Map.of("confirmed", order)));
            });
  }

  private Mono<Void> withLatency(Mono<Void> response) {
    return faults().latencyMillis == 0
        ? response
        : Mono.delay(Duration.ofMillis(faults().latencyMillis)).then(response);
  }

  private Map<String, Integer> runsByOrder() {
    synchronized (runsByOrder) {
      return new TreeMap<>(runsByOrder);
    }
  }

  /**
   * Injected faults, which can be changed at run time.
   *
   * @param latencyMillis delay added to every response
   * @param dropAfterRun whether the connection is closed after an order ran, without a response
   */
  public record Faults(long latencyMillis, boolean dropAfterRun) {}
}
