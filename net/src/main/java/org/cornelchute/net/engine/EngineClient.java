package org.cornelchute.net.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.cornelchute.core.message.ServingMessage.Dispatch;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.placement.EngineState;
import org.cornelchute.policy.weights.Manifest;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Client of the endpoint beside an agent: a model engine or a plain service, over HTTP.
 *
 * <p>Connections are opened anew where a kept one could have gone stale, so that a refused
 * connection proves that the request did not run; the pool never repeats a request by itself.
 */
public final class EngineClient {

  /** Header by which an engine names the manifest that an answer was computed with. */
  public static final String MANIFEST_HEADER = "X-Manifest";

  /** Header that asks an engine to leave out the first events of a stream. */
  public static final String RESUME_AFTER_HEADER = "X-Resume-After";

  /** Header that names the request at the endpoint, for its own records. */
  public static final String REQUEST_ID_HEADER = "X-Request-Id";

  private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration LOAD_TIMEOUT = Duration.ofMinutes(5);
  private static final int STATUS_OK = 200;
  private static final int STATUS_CONFLICT = 409;
  private static final int MAX_CONNECTIONS = 256;
  private static final Duration MAX_IDLE = Duration.ofSeconds(10);

  private final HttpClient http;
  private final ObjectMapper mapper = new ObjectMapper();

  /** Creates a client of the endpoint at {@code http://host:port}. */
  public EngineClient(String baseUrl) {
    ConnectionProvider pool =
        ConnectionProvider.builder("endpoint")
            .maxConnections(MAX_CONNECTIONS)
            .pendingAcquireMaxCount(MAX_CONNECTIONS)
            .maxIdleTime(MAX_IDLE)
            .build();
    this.http = HttpClient.create(pool).baseUrl(baseUrl).disableRetry(true);
  }

  /** Asks the engine for its state. */
  public Mono<Either<Failure, EngineState>> fetchStatus() {
    return http.get()
        .uri("/engine/status")
        .responseSingle((response, body) -> body.asString(StandardCharsets.UTF_8))
        .map(this::parseState)
        .timeout(STATUS_TIMEOUT)
        .onErrorResume(error -> Mono.just(Either.left(toFailure(error))));
  }

  /**
   * Orders the engine to load a version.
   *
   * @param manifest the version
   * @param fence fencing number of the order
   * @param chunks its chunks in order, all verified
   * @return the engine's own word after the load, read back
   */
  public Mono<Either<Failure, EngineState>> load(
      Manifest manifest, long fence, List<byte[]> chunks) {
    String uri =
        String.format(
            "/engine/load?model=%s&version=%s&chunkBytes=%d&fence=%d",
            manifest.model(), manifest.version(), manifest.chunkBytes(), fence);
    return http.headers(headers -> headers.set("Content-Length", manifest.bytes()))
        .post()
        .uri(uri)
        .send(Flux.fromIterable(chunks).map(Unpooled::wrappedBuffer))
        .responseSingle(
            (response, body) ->
                body.asString()
                    .defaultIfEmpty("")
                    .map(text -> checkLoadStatus(response.status().code(), text)))
        .timeout(LOAD_TIMEOUT)
        .onErrorResume(error -> Mono.just(Either.left(toFailure(error))))
        .flatMap(
            result -> result.isLeft() ? Mono.just(Either.left(result.getLeft())) : fetchStatus());
  }

  /**
   * Forwards a request.
   *
   * @return a handle that breaks the request off when disposed
   */
  public Disposable forward(Dispatch request, AnswerListener listener) {
    return http.headers(
            headers -> {
              if (!request.contentType().isEmpty()) {
                headers.set("Content-Type", request.contentType());
              }
              headers.set(REQUEST_ID_HEADER, request.request());
              headers.set("X-Workspace", request.workspace());
              headers.set("X-Priority", request.priority());
              headers.set("Content-Length", request.body().length);
              if (request.resumeAfter() > 0) {
                headers.set(RESUME_AFTER_HEADER, request.resumeAfter());
              }
            })
        .request(HttpMethod.valueOf(request.method()))
        .uri(request.path())
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(request.body())))
        .response(
            (response, body) -> {
              String manifest = response.responseHeaders().get(MANIFEST_HEADER, "");
              String type = response.responseHeaders().get("Content-Type", "");
              listener.onHead(response.status().code(), type, manifest);
              return body.asByteArray();
            })
        .subscribe(
            listener::onPart,
            error -> listener.onFailure(isConnectFailure(error)),
            listener::onEnd);
  }

  private Either<Failure, EngineState> parseState(String text) {
    try {
      JsonNode state = mapper.readTree(text);
      return Either.right(
          new EngineState(
              state.path("boot").asText(),
              state.path("model").asText(),
              state.path("manifest").asText(),
              state.path("fence").asLong(),
              state.path("capacity").asInt()));
    } catch (JsonProcessingException e) {
      return Either.left(Failure.unknown("engine status is not JSON"));
    }
  }

  private static Either<Failure, Boolean> checkLoadStatus(int status, String text) {
    if (status == STATUS_OK) {
      return Either.right(true);
    }
    if (status == STATUS_CONFLICT) {
      return Either.left(
          new Failure(Failure.Code.CONFLICT, "engine refused the fencing number: " + text));
    }
    return Either.left(Failure.unknown("engine answered " + status + " to a load order"));
  }

  private static Failure toFailure(Throwable error) {
    return isConnectFailure(error)
        ? Failure.unavailable("engine refused the connection")
        : Failure.unknown("no answer from the engine: " + error.getClass().getSimpleName());
  }

  private static boolean isConnectFailure(Throwable error) {
    return error instanceof ConnectException || error instanceof ConnectTimeoutException;
  }

  /** Receives an answer; called on network threads, must not block. */
  public interface AnswerListener {

    /** Handles status, content type and the manifest that the engine names. */
    void onHead(int status, String contentType, String manifest);

    /** Handles a part of the body. */
    void onPart(byte[] bytes);

    /** Handles the end of a whole answer. */
    void onEnd();

    /** Handles a failure; {@code refused} if the request certainly did not run. */
    void onFailure(boolean notRun);
  }
}
