package org.cornelchute.entry;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cornelchute.core.kernel.Service;
import org.cornelchute.core.model.WorkspaceUsage;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.routing.Refusal;
import org.cornelchute.policy.routing.RequestSpec;
import org.cornelchute.policy.rules.Rule;
import org.cornelchute.policy.rules.Rules;
import org.cornelchute.policy.weights.Digests;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** HTTP server for callers: the model API, plain services and the load balancer's health check. */
final class CallerServer implements Service {

  private static final String REQUEST_ID_HEADER = "X-Request-Id";
  private static final String DEADLINE_HEADER = "X-Deadline-Millis";
  private static final String SERVICES_PATH_PREFIX = "/services/";
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_UNAUTHORIZED = 401;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_CONTENT_TOO_LARGE = 413;
  private static final int STATUS_SERVICE_UNAVAILABLE = 503;

  private final EntrySettings settings;
  private final RequestHandler requestHandler;
  private final Supplier<Rules> rules;
  private final Supplier<List<WorkspaceUsage>> workspaceUsage;
  private final BooleanSupplier healthy;
  private final LongSupplier clockMillis;
  private final MetricRegistry metrics;
  private final RequestReader reader = new RequestReader();
  private final ObjectMapper mapper = new ObjectMapper();
  private final Map<String, Exchange> exchanges = new ConcurrentHashMap<>();
  private final AtomicLong requestSequence = new AtomicLong();
  private final String requestIdPrefix;
  private DisposableServer server;

  CallerServer(
      EntrySettings settings,
      long boot,
      RequestHandler requestHandler,
      Supplier<Rules> rules,
      Supplier<List<WorkspaceUsage>> workspaceUsage,
      BooleanSupplier healthy,
      LongSupplier clockMillis,
      MetricRegistry metrics) {
    this.settings = settings;
    this.requestIdPrefix =
        settings.member().id() + "-" + Long.toString(boot, Character.MAX_RADIX) + "-";
    this.requestHandler = requestHandler;
    this.rules = rules;
    this.workspaceUsage = workspaceUsage;
    this.healthy = healthy;
    this.clockMillis = clockMillis;
    this.metrics = metrics;
  }

  @Override
  public void start() {
    server =
        HttpServer.create()
            .host(settings.member().host())
            .port(settings.callerPort())
            .handle(this::handle)
            .bindNow();
  }

  @Override
  public void close() {
    if (server != null) {
      server.disposeNow();
    }
  }

  /** Returns the open exchange of a request, or empty if there is none. */
  Optional<Exchange> findExchange(String request) {
    return Optional.ofNullable(exchanges.get(request));
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    String path = "/" + request.path();
    if (path.equals("/healthz")) {
      boolean isHealthy = healthy.getAsBoolean();
      return sendJson(
          response,
          isHealthy ? STATUS_OK : STATUS_SERVICE_UNAVAILABLE,
          isHealthy ? "{\"ok\":true}" : "{\"ok\":false}");
    }
    String id = requestIdPrefix + requestSequence.incrementAndGet();
    response.header(REQUEST_ID_HEADER, id);
    if (!healthy.getAsBoolean()) {
      response.header("Connection", "close");
    }
    Rules currentRules = rules.get();
    if (currentRules.version() == 0) {
      return sendError(
          response,
          STATUS_SERVICE_UNAVAILABLE,
          "not_run",
          "the entry has no rules yet; retry later",
          id);
    }
    Optional<String> workspace = findWorkspace(currentRules, request);
    if (workspace.isEmpty()) {
      return sendError(
          response,
          STATUS_UNAUTHORIZED,
          "unknown_workspace",
          "missing or unknown key; send the key of a workspace as bearer token",
          id);
    }
    if (path.equals("/v1/models")) {
      return sendModels(response, currentRules);
    }
    if (path.equals("/v1/fairness")) {
      return sendUsage(response, workspace.get());
    }
    boolean isModelRequest = path.equals("/v1/chat/completions") || path.equals("/v1/completions");
    if (!isModelRequest && !path.startsWith(SERVICES_PATH_PREFIX)) {
      return sendError(response, STATUS_NOT_FOUND, "not_found", "unknown path: " + path, id);
    }
    if (exchanges.size() >= settings.maxRequests()) {
      metrics.meter("callers.shed").mark();
      return sendError(
          response,
          STATUS_SERVICE_UNAVAILABLE,
          "not_run",
          "the entry is overloaded; retry later",
          id);
    }
    return request
        .receive()
        .asByteArray()
        .collect(() -> new BodyBuffer(settings.maxBodyBytes()), BodyBuffer::add)
        .flatMap(
            body ->
                body.isTooLarge()
                    ? sendError(
                        response,
                        STATUS_CONTENT_TOO_LARGE,
                        "too_large",
                        "the request body is too large",
                        id)
                    : readAndSubmit(
                        request,
                        response,
                        currentRules,
                        id,
                        workspace.get(),
                        path,
                        isModelRequest,
                        body.toByteArray()));
  }

  private Mono<Void> readAndSubmit(
      HttpServerRequest request,
      HttpServerResponse response,
      Rules currentRules,
      String id,
      String workspace,
      String path,
      boolean isModelRequest,
      byte[] body) {
    long timeoutMillis = settings.deadlineMillis();
    String requestedTimeout = request.requestHeaders().get(DEADLINE_HEADER, "");
    if (requestedTimeout.matches("[0-9]{1,9}")) {
      timeoutMillis = Math.min(timeoutMillis, Long.parseLong(requestedTimeout));
    }
    String relativeUri =
        isModelRequest ? request.uri() : request.uri().substring(SERVICES_PATH_PREFIX.length());
    String service = relativeUri.split("[/?]", 2)[0];
    String targetUri = isModelRequest ? relativeUri : relativeUri.substring(service.length());
    RequestReader.RawRequest rawRequest =
        new RequestReader.RawRequest(
            id,
            workspace,
            request.method().name(),
            targetUri.startsWith("/") ? targetUri : "/" + targetUri,
            request.requestHeaders().get("Content-Type", ""),
            request.requestHeaders().get("Idempotency-Key", ""),
            clockMillis.getAsLong() + timeoutMillis,
            body);
    Either<Failure, RequestSpec> spec =
        isModelRequest
            ? reader.readModelRequest(currentRules, rawRequest)
            : Either.right(reader.readServiceRequest(currentRules, rawRequest, service));
    if (spec.isLeft()) {
      metrics.meter("callers.invalid").mark();
      boolean isUnknownModel = spec.getLeft().code() == Failure.Code.NOT_FOUND;
      return sendError(
          response,
          isUnknownModel ? STATUS_NOT_FOUND : STATUS_BAD_REQUEST,
          isUnknownModel ? "unknown_model" : "invalid_request",
          spec.getLeft().message(),
          id);
    }
    return submit(response, spec.get());
  }

  private Mono<Void> submit(HttpServerResponse response, RequestSpec spec) {
    Exchange exchange = new Exchange();
    exchanges.put(spec.id(), exchange);
    if (!requestHandler.submit(spec)) {
      exchanges.remove(spec.id());
      return sendError(
          response,
          STATUS_SERVICE_UNAVAILABLE,
          "not_run",
          "the entry is overloaded; retry later",
          spec.id());
    }
    return exchange
        .whenHead()
        .flatMap(
            head -> {
              if (head.refusal() != null) {
                return sendRefusal(response, head, spec.id());
              }
              response.status(head.status());
              if (!head.contentType().isEmpty()) {
                response.header("Content-Type", head.contentType());
              }
              if (!head.manifest().isEmpty()) {
                response.header("X-Manifest", head.manifest());
              }
              return response.send(exchange.body(), part -> true).then();
            })
        .doOnCancel(() -> requestHandler.onCallerDisconnect(spec.id()))
        .doOnError(error -> requestHandler.onCallerDisconnect(spec.id()))
        .doFinally(signal -> exchanges.remove(spec.id()));
  }

  private Mono<Void> sendRefusal(HttpServerResponse response, Exchange.Head head, String id) {
    Refusal refusal = head.refusal();
    if (refusal == Refusal.NOT_RUN || refusal == Refusal.RATE_LIMITED) {
      response.header("Retry-After", "1");
    }
    int status =
        switch (refusal) {
          case NOT_RUN -> STATUS_SERVICE_UNAVAILABLE;
          case RATE_LIMITED -> 429;
          case OUTCOME_UNKNOWN -> 502;
          case KEY_REUSED -> 422;
        };
    String code =
        switch (refusal) {
          case NOT_RUN -> "not_run";
          case RATE_LIMITED -> "rate_limited";
          case OUTCOME_UNKNOWN -> "outcome_unknown";
          case KEY_REUSED -> "idempotency_key_reused";
        };
    return sendError(response, status, code, head.reason(), id);
  }

  private static Optional<String> findWorkspace(Rules rules, HttpServerRequest request) {
    String header = request.requestHeaders().get("Authorization", "");
    if (!header.startsWith("Bearer ")) {
      return Optional.empty();
    }
    String key = header.substring("Bearer ".length()).strip();
    return rules.findWorkspace(Digests.sha256(key.getBytes(StandardCharsets.UTF_8)));
  }

  /**
   * Sends a workspace its usage and its share of the tokens of this entry. The usage of other
   * workspaces is not disclosed.
   */
  private Mono<Void> sendUsage(HttpServerResponse response, String workspace) {
    long totalTokens = 0;
    long workspaceTokens = 0;
    List<WorkspaceUsage> usageOfWorkspace = new ArrayList<>();
    for (WorkspaceUsage usage : workspaceUsage.get()) {
      totalTokens += usage.tokens();
      if (usage.workspace().equals(workspace)) {
        workspaceTokens = usage.tokens();
        usageOfWorkspace.add(usage);
      }
    }
    try {
      return sendJson(
          response,
          STATUS_OK,
          mapper.writeValueAsString(
              new OwnShare(usageOfWorkspace, (double) workspaceTokens / Math.max(1, totalTokens))));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("workspace usage cannot be encoded as JSON", e);
    }
  }

  private Mono<Void> sendModels(HttpServerResponse response, Rules currentRules) {
    List<ModelEntry> data = new ArrayList<>();
    for (Rule.Place place : currentRules.places()) {
      data.add(new ModelEntry(place.model(), "model", "cornelchute"));
    }
    try {
      return sendJson(response, STATUS_OK, mapper.writeValueAsString(new ModelList("list", data)));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("model list cannot be encoded as JSON", e);
    }
  }

  private Mono<Void> sendError(
      HttpServerResponse response, int status, String code, String message, String id) {
    metrics.meter("callers.refused." + code).mark();
    if (status == STATUS_SERVICE_UNAVAILABLE) {
      response.header("Retry-After", "1");
    }
    return sendJson(
        response, status, new String(ErrorBody.encode(code, message, id), StandardCharsets.UTF_8));
  }

  private static Mono<Void> sendJson(HttpServerResponse response, int status, String json) {
    ByteBuf body = Unpooled.copiedBuffer(json, StandardCharsets.UTF_8);
    return response
        .status(status)
        .header("Content-Type", "application/json")
        .header("Content-Length", Integer.toString(body.readableBytes()))
        .sendObject(body)
        .then();
  }

  /** Handles the requests of callers. */
  interface RequestHandler {

    /** Submits a request for routing; returns whether it was accepted. */
    boolean submit(RequestSpec spec);

    /** Handles a caller that disconnected before its request was answered. */
    void onCallerDisconnect(String request);
  }

  private record OwnShare(List<WorkspaceUsage> figures, double shareOfTokens) {}

  private record ModelEntry(String id, String object, @JsonProperty("owned_by") String ownedBy) {}

  private record ModelList(String object, List<ModelEntry> data) {}
}
