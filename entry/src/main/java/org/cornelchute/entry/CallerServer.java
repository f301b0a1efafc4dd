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

/** HTTP towards callers: the model API, plain services and the balancer's health check. */
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
      RequestHandler intake,
      Supplier<Rules> rules,
      Supplier<List<WorkspaceUsage>> shares,
      BooleanSupplier healthy,
      LongSupplier clock,
      MetricRegistry metrics) {
    this.settings = settings;
    this.requestIdPrefix =
        settings.member().id() + "-" + Long.toString(boot, Character.MAX_RADIX) + "-";
    this.requestHandler = intake;
    this.rules = rules;
    this.workspaceUsage = shares;
    this.healthy = healthy;
    this.clockMillis = clock;
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

  /** Finds the open exchange of a request. */
  Optional<Exchange> findExchange(String request) {
    return Optional.ofNullable(exchanges.get(request));
  }

  private Publisher<Void> handle(HttpServerRequest q, HttpServerResponse r) {
    String path = "/" + q.path();
    if (path.equals("/healthz")) {
      boolean up = healthy.getAsBoolean();
      return sendJson(
          r, up ? STATUS_OK : STATUS_SERVICE_UNAVAILABLE, up ? "{\"ok\":true}" : "{\"ok\":false}");
    }
    String id = requestIdPrefix + requestSequence.incrementAndGet();
    r.header(REQUEST_ID_HEADER, id);
    if (!healthy.getAsBoolean()) {
      r.header("Connection", "close");
    }
    Rules now = rules.get();
    if (now.version() == 0) {
      return sendError(
          r, STATUS_SERVICE_UNAVAILABLE, "not_run", "no rules are known yet; try again", id);
    }
    Optional<String> workspace = findWorkspace(now, q);
    if (workspace.isEmpty()) {
      return sendError(
          r,
          STATUS_UNAUTHORIZED,
          "unknown_workspace",
          "send the key of a workspace as bearer token",
          id);
    }
    if (path.equals("/v1/models")) {
      return sendModels(r, now);
    }
    if (path.equals("/v1/fairness")) {
      return sendUsage(r, workspace.get());
    }
    boolean model = path.equals("/v1/chat/completions") || path.equals("/v1/completions");
    if (!model && !path.startsWith(SERVICES_PATH_PREFIX)) {
      return sendError(r, STATUS_NOT_FOUND, "not_found", "no such path: " + path, id);
    }
    if (exchanges.size() >= settings.maxRequests()) {
      metrics.meter("callers.shed").mark();
      return sendError(
          r, STATUS_SERVICE_UNAVAILABLE, "not_run", "the entry is full; try again", id);
    }
    return q.receive()
        .asByteArray()
        .collect(() -> new BodyBuffer(settings.maxBodyBytes()), BodyBuffer::add)
        .flatMap(
            b ->
                b.isTooLarge()
                    ? sendError(
                        r, STATUS_CONTENT_TOO_LARGE, "too_large", "the body is too large", id)
                    : readAndSubmit(q, r, now, id, workspace.get(), path, model, b.toByteArray()));
  }

  private Mono<Void> readAndSubmit(
      HttpServerRequest q,
      HttpServerResponse r,
      Rules now,
      String id,
      String workspace,
      String path,
      boolean model,
      byte[] body) {
    long limit = settings.deadlineMillis();
    String asked = q.requestHeaders().get(DEADLINE_HEADER, "");
    if (asked.matches("[0-9]{1,9}")) {
      limit = Math.min(limit, Long.parseLong(asked));
    }
    String rest = model ? q.uri() : q.uri().substring(SERVICES_PATH_PREFIX.length());
    String service = rest.split("[/?]", 2)[0];
    String target = model ? rest : rest.substring(service.length());
    RequestReader.RawRequest e =
        new RequestReader.RawRequest(
            id,
            workspace,
            q.method().name(),
            target.startsWith("/") ? target : "/" + target,
            q.requestHeaders().get("Content-Type", ""),
            q.requestHeaders().get("Idempotency-Key", ""),
            clockMillis.getAsLong() + limit,
            body);
    Either<Failure, RequestSpec> spec =
        model
            ? reader.readModelRequest(now, e)
            : Either.right(reader.readServiceRequest(now, e, service));
    if (spec.isLeft()) {
      metrics.meter("callers.invalid").mark();
      boolean missing = spec.getLeft().code() == Failure.Code.NOT_FOUND;
      return sendError(
          r,
          missing ? STATUS_NOT_FOUND : STATUS_BAD_REQUEST,
          missing ? "unknown_model" : "invalid_request",
          spec.getLeft().message(),
          id);
    }
    return submit(r, spec.get());
  }

  private Mono<Void> submit(HttpServerResponse r, RequestSpec spec) {
    Exchange x = new Exchange();
    exchanges.put(spec.id(), x);
    if (!requestHandler.submit(spec)) {
      exchanges.remove(spec.id());
      return sendError(
          r, STATUS_SERVICE_UNAVAILABLE, "not_run", "the entry is full; try again", spec.id());
    }
    return x.whenHead()
        .flatMap(
            h -> {
              if (h.refusal() != null) {
                return sendRefusal(r, h, spec.id());
              }
              r.status(h.status());
              if (!h.contentType().isEmpty()) {
                r.header("Content-Type", h.contentType());
              }
              if (!h.manifest().isEmpty()) {
                r.header("X-Manifest", h.manifest());
              }
              return r.send(x.body(), b -> true).then();
            })
        .doOnCancel(() -> requestHandler.onCallerDisconnect(spec.id()))
        .doOnError(e -> requestHandler.onCallerDisconnect(spec.id()))
        .doFinally(s -> exchanges.remove(spec.id()));
  }

  private Mono<Void> sendRefusal(HttpServerResponse r, Exchange.Head h, String id) {
    Refusal refusal = h.refusal();
    if (refusal == Refusal.NOT_RUN || refusal == Refusal.RATE_LIMITED) {
      r.header("Retry-After", "1");
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
    return sendError(r, status, code, h.reason(), id);
  }

  private static Optional<String> findWorkspace(Rules rules, HttpServerRequest q) {
    String header = q.requestHeaders().get("Authorization", "");
    if (!header.startsWith("Bearer ")) {
      return Optional.empty();
    }
    String key = header.substring("Bearer ".length()).strip();
    return rules.findWorkspace(Digests.sha256(key.getBytes(StandardCharsets.UTF_8)));
  }

  /** Shows a workspace its own figures and its part of all service here, and nobody else's. */
  private Mono<Void> sendUsage(HttpServerResponse r, String workspace) {
    long all = 0;
    long own = 0;
    List<WorkspaceUsage> figures = new ArrayList<>();
    for (WorkspaceUsage s : workspaceUsage.get()) {
      all += s.tokens();
      if (s.workspace().equals(workspace)) {
        own = s.tokens();
        figures.add(s);
      }
    }
    try {
      return sendJson(
          r,
          STATUS_OK,
          mapper.writeValueAsString(new OwnShare(figures, (double) own / Math.max(1, all))));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("share cannot be encoded", e);
    }
  }

  private Mono<Void> sendModels(HttpServerResponse r, Rules now) {
    List<ModelEntry> data = new ArrayList<>();
    for (Rule.Place p : now.places()) {
      data.add(new ModelEntry(p.model(), "model", "cornelchute"));
    }
    try {
      return sendJson(r, STATUS_OK, mapper.writeValueAsString(new ModelList("list", data)));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("list cannot be encoded", e);
    }
  }

  private Mono<Void> sendError(
      HttpServerResponse r, int status, String code, String why, String id) {
    metrics.meter("callers.refused." + code).mark();
    if (status == STATUS_SERVICE_UNAVAILABLE) {
      r.header("Retry-After", "1");
    }
    return sendJson(r, status, new String(ErrorBody.encode(code, why, id), StandardCharsets.UTF_8));
  }

  private static Mono<Void> sendJson(HttpServerResponse r, int status, String json) {
    ByteBuf body = Unpooled.copiedBuffer(json, StandardCharsets.UTF_8);
    return r.status(status)
        .header("Content-Type", "application/json")
        .header("Content-Length", Integer.toString(body.readableBytes()))
        .sendObject(body)
        .then();
  }

  /** Where callers' requests go. */
  interface RequestHandler {

    /** Hands on a request; returns false if there is no room. */
    boolean submit(RequestSpec spec);

    /** Reports that a caller went away. */
    void onCallerDisconnect(String request);
  }

  private record OwnShare(List<WorkspaceUsage> figures, double shareOfTokens) {}

  private record ModelEntry(String id, String object, @JsonProperty("owned_by") String ownedBy) {}

  private record ModelList(String object, List<ModelEntry> data) {}
}
