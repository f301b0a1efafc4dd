package org.cornelchute.standin.server;

import java.util.function.Consumer;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * HTTP server of a stand-in on the loopback interface. The path {@code /faults} reads and replaces
 * the injected faults.
 *
 * @param <F> type of the faults, bound from JSON
 */
public abstract class HttpStandin<F> implements AutoCloseable {

  private final Class<F> faultsType;
  private volatile F faults;
  private DisposableServer server;

  /** Creates a stand-in with its initial faults. */
  protected HttpStandin(F initialFaults, Class<F> faultsType) {
    this.faults = initialFaults;
    this.faultsType = faultsType;
  }

  /** Returns the current faults. */
  protected final F faults() {
    return faults;
  }

  /** Replaces the faults. */
  protected final void changeFaults(F newFaults) {
    faults = newFaults;
  }

  /** Starts the server on a port, with the given routes and those for the faults. */
  protected final void listen(int port, Consumer<HttpServerRoutes> routes) {
    server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(port)
            .route(
                r -> {
                  routes.accept(r);
                  r.get("/faults", (q, s) -> Json.send(s, 200, faults));
                  r.post("/faults", this::handleFaultsUpdate);
                })
            .bindNow();
  }

  /** Returns a signal that completes when the server is closed. */
  public final Mono<Void> onClose() {
    return server.onDispose();
  }

  @Override
  public final void close() {
    server.disposeNow();
  }

  private Publisher<Void> handleFaultsUpdate(
      HttpServerRequest request, HttpServerResponse response) {
    return Json.read(request, faultsType)
        .flatMap(
            newFaults -> {
              faults = newFaults;
              return Json.send(response, 200, faults);
            });
  }
}
