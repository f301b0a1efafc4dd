package org.cornelchute.net.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.List;
import org.cornelchute.core.message.ServingMessage.Dispatch;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.http.CheckedClientCodec;
import org.cornelchute.net.util.ResponseBodies;
import org.cornelchute.policy.placement.EngineState;
import org.cornelchute.policy.weights.Manifest;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * HTTP client of an agent's endpoint: a model engine or a plain service.
 *
 * <p>A failure to connect proves that the request did not run, because the pool never retries a
 * request itself. Loads and forwarded requests have a connection of their own each: endpoints need
 * not name the request in an answer, so that one which a faulty endpoint sends twice on a kept
 * connection could be taken for the answer to the next request. Connections for status requests are
 * not reused after they were idle for {@code MAX_IDLE}, because the endpoint may have closed them.
 */
public final class EngineClient {

  /** Response header with the manifest of the weights that computed the answer. */
  public static final String MANIFEST_HEADER = "X-Manifest";

  /**
   * Request header with the number of events that the engine must skip at the start of a stream.
   */
  public static final String RESUME_AFTER_HEADER = "X-Resume-After";

  /** Request header with the request id, for the records of the endpoint. */
  public static final String REQUEST_ID_HEADER = "X-Request-Id";

  private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration LOAD_TIMEOUT = Duration.ofMinutes(5);
  private static final int STATUS_OK = 200;
  private static final int STATUS_CONFLICT = 409;
  private static final int MAX_CONNECTIONS = 256;

  /** Maximum size of the body of an answer to a request. */
  private static final long MAX_ANSWER_BYTES = 16_777_216;

  /** Maximum size of other answers, which are short. */
  private static final long MAX_STATE_BYTES = 65_536;

  private static final Duration MAX_IDLE = Duration.ofSeconds(10);

  private final HttpClient statusClient;
  private final HttpClient requestClient;
  private final ObjectMapper mapper = new ObjectMapper();

  /** Creates a client of the endpoint at {@code http://host:port}. */
  public EngineClient(String baseUrl) {
    this.statusClient = createClient(baseUrl, poolBuilder().maxIdleTime(MAX_IDLE));
    this.requestClient =
        createClient(baseUrl, poolBuilder().evictionPredicate((connection, use) -> true))
            .keepAlive(false);
  }

  private static ConnectionProvider.Builder poolBuilder() {
    return ConnectionProvider.builder("endpoint")
        .maxConnections(MAX_CONNECTIONS)
        .pendingAcquireMaxCount(MAX_CONNECTIONS);
  }

  private static HttpClient createClient(String baseUrl, ConnectionProvider.Builder pool) {
    return CheckedClientCodec.applyTo(HttpClient.create(pool.build()))
        .baseUrl(baseUrl)
        .disableRetry(true);
  }

  /** Fetches the state of the engine. */
  public Mono<Either<Failure, EngineState>> fetchStatus() {
    return statusClient
        .get()
        .uri("/engine/status")
        .response((response, body) -> ResponseBodies.text(body, MAX_STATE_BYTES))
        .single()
        .map(this::parseState)
        .timeout(STATUS_TIMEOUT)
        .onErrorResume(error -> Mono.just(Either.left(toFailure(error))));
  }

  /**
   * Makes the engine load a version. The response does not show what is loaded; its state must be
   * fetched afterwards.
   *
   * @param manifest manifest of the version
   * @param fence fencing number of the load
   * @param chunks all chunks of the version in order, already verified
   * @return true once the engine has responded that the load is complete
   */
  public Mono<Either<Failure, Boolean>> load(Manifest manifest, long fence, List<byte[]> chunks) {
    String uri =
        String.format(
            "/engine/load?model=%s&version=%s&chunkBytes=%d&fence=%d",
            manifest.model(), manifest.version(), manifest.chunkBytes(), fence);
    return requestClient
        .headers(headers -> headers.set("Content-Length", manifest.bytes()))
        .post()
        .uri(uri)
        .send(Flux.fromIterable(chunks).map(Unpooled::wrappedBuffer))
        .response(
            (response, body) ->
                ResponseBodies.text(body, MAX_STATE_BYTES)
                    .map(text -> checkLoadStatus(response.status().code(), text)))
        .single()
        .timeout(LOAD_TIMEOUT)
        .onErrorResume(error -> Mono.just(Either.left(toFailure(error))));
  }

  /**
   * Forwards a request to the endpoint.
   *
   * @return a handle that cancels the request when disposed
   */
  public Disposable forward(Dispatch request, AnswerListener listener) {
    return requestClient
        .headers(
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
              if (namesOtherRequest(response.responseHeaders(), request.request())) {
                return Mono.error(new IOException("answer of the endpoint to another request"));
              }
              String manifest = response.responseHeaders().get(MANIFEST_HEADER, "");
              String type = response.responseHeaders().get("Content-Type", "");
              listener.onHead(response.status().code(), type, manifest);
              return ResponseBodies.parts(body, MAX_ANSWER_BYTES);
            })
        .subscribe(
            listener::onPart,
            error -> listener.onFailure(isConnectFailure(error)),
            listener::onEnd);
  }

  /** Returns whether an answer names a request, though it need not, and not this one alone. */
  private static boolean namesOtherRequest(HttpHeaders headers, String request) {
    return headers.getAll(REQUEST_ID_HEADER).stream().anyMatch(id -> !id.equals(request));
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
          new Failure(Failure.Code.CONFLICT, "engine rejected the fencing number: " + text));
    }
    return Either.left(Failure.unknown("engine answered status " + status + " to a load request"));
  }

  private static Failure toFailure(Throwable error) {
    return isConnectFailure(error)
        ? Failure.unavailable("cannot connect to the engine")
        : Failure.unknown("no answer from the engine: " + error.getClass().getSimpleName());
  }

  private static boolean isConnectFailure(Throwable error) {
    return error instanceof ConnectException || error instanceof ConnectTimeoutException;
  }

  /**
   * Receives the answer to a request. Called on event loop threads; implementations must not block.
   */
  public interface AnswerListener {

    /**
     * Called with status, content type and manifest of the answer. The latter two are empty if the
     * endpoint did not send them.
     */
    void onHead(int status, String contentType, String manifest);

    /** Called for each part of the body. */
    void onPart(byte[] bytes);

    /** Called after the last part of a complete answer. */
    void onEnd();

    /** Called if the request fails; {@code notRun} is true if it certainly did not run. */
    void onFailure(boolean notRun);
  }
}
