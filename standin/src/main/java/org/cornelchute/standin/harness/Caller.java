package org.cornelchute.standin.harness;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cornelchute.standin.server.TokenText;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Sends requests to an entry and checks each response against the expected content. */
public final class Caller {

  private static final int MAX_CONNECTIONS = 4_096;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);
  private static final int STATUS_OK = 200;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpClient http;

  /** Creates a caller with a separate connection pool. */
  public Caller() {
    this.http =
        HttpClient.create(
                ConnectionProvider.builder("callers")
                    .maxConnections(MAX_CONNECTIONS)
                    .pendingAcquireMaxCount(-1)
                    .build())
            .disableRetry(true);
  }

  /** Sends a prompt to a model and checks the generated tokens. */
  public Mono<CallResult> sendPrompt(
      int port, String key, String model, String prompt, int tokens, boolean stream) {
    byte[] body =
        encode(Map.of("model", model, "prompt", prompt, "max_tokens", tokens, "stream", stream));
    ResponseCollector collector = new ResponseCollector(key);
    return http.headers(
            h -> h.set("Authorization", "Bearer " + key).set("Content-Type", "application/json"))
        .post()
        .uri("http://127.0.0.1:" + port + "/v1/completions")
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
        .response(
            (r, content) -> {
              collector.status = r.status().code();
              collector.manifest = r.responseHeaders().get("X-Manifest", "");
              return content.asString(StandardCharsets.UTF_8).doOnNext(collector::add);
            })
        .then(Mono.fromSupplier(() -> collector.checkCompletion(prompt, tokens, stream)))
        .timeout(REQUEST_TIMEOUT)
        .onErrorResume(e -> Mono.just(collector.connectionFailure(e)));
  }

  /** Calls a plain service; the response must contain {@code expected}. */
  public Mono<CallResult> callService(
      int port,
      String key,
      String method,
      String path,
      String body,
      String idempotencyKey,
      String expected) {
    ResponseCollector collector = new ResponseCollector(key);
    return http.headers(
            h -> {
              h.set("Authorization", "Bearer " + key);
              if (!idempotencyKey.isEmpty()) {
                h.set("Idempotency-Key", idempotencyKey);
              }
            })
        .request(HttpMethod.valueOf(method))
        .uri("http://127.0.0.1:" + port + path)
        .send(Mono.fromSupplier(() -> Unpooled.copiedBuffer(body, StandardCharsets.UTF_8)))
        .response(
            (r, content) -> {
              collector.status = r.status().code();
              return content.asString(StandardCharsets.UTF_8).doOnNext(collector::add);
            })
        .then(Mono.fromSupplier(() -> collector.checkServiceResponse(expected)))
        .timeout(REQUEST_TIMEOUT)
        .onErrorResume(e -> Mono.just(collector.connectionFailure(e)));
  }

  private static byte[] encode(Map<String, Object> value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("request cannot be encoded as JSON", e);
    }
  }

  /** Collects one response and its timings. */
  private static final class ResponseCollector {

    private final String workspace;
    private final long startedAt = System.nanoTime();
    private final StringBuilder body = new StringBuilder();
    private final List<Long> interTokenMicros = new ArrayList<>();
    private int status;
    private String manifest = "";
    private long firstPartAt;
    private long lastPartAt;

    ResponseCollector(String workspace) {
      this.workspace = workspace;
    }

    void add(String part) {
      long now = System.nanoTime();
      if (firstPartAt == 0) {
        firstPartAt = now;
      } else {
        interTokenMicros.add((now - lastPartAt) / 1_000);
      }
      lastPartAt = now;
      body.append(part);
    }

    CallResult checkCompletion(String prompt, int tokens, boolean stream) {
      if (status != STATUS_OK) {
        return refusal();
      }
      String expected = TokenText.text(prompt, manifest, tokens);
      String actual = stream ? streamedText() : jsonField("text");
      return result(
          actual.equals(expected) ? CallResult.Outcome.WHOLE : CallResult.Outcome.BAD,
          actual.equals(expected) ? "" : "expected " + expected + ", got " + actual);
    }

    CallResult checkServiceResponse(String expected) {
      if (status != STATUS_OK) {
        return refusal();
      }
      boolean complete = body.indexOf(expected) >= 0;
      return result(
          complete ? CallResult.Outcome.WHOLE : CallResult.Outcome.BAD,
          complete ? "" : body.toString());
    }

    CallResult connectionFailure(Throwable error) {
      boolean responseStarted = status == STATUS_OK;
      return result(
          responseStarted ? CallResult.Outcome.CUT : CallResult.Outcome.UNKNOWN, error.toString());
    }

    private CallResult refusal() {
      try {
        JsonNode error = MAPPER.readTree(body.toString()).path("error");
        CallResult.Outcome outcome =
            switch (error.path("code").asText()) {
              case "not_run", "rate_limited" -> CallResult.Outcome.NOT_RUN;
              case "outcome_unknown" -> CallResult.Outcome.UNKNOWN;
              default -> CallResult.Outcome.OTHER;
            };
        return result(outcome, error.path("message").asText());
      } catch (JsonProcessingException e) {
        return result(CallResult.Outcome.OTHER, body.toString());
      }
    }

    private String streamedText() {
      StringBuilder tokens = new StringBuilder();
      boolean done = false;
      for (String event : body.toString().split("\n\n")) {
        String data = event.startsWith("data: ") ? event.substring(6) : event;
        if (data.equals("[DONE]")) {
          done = true;
          continue;
        }
        tokens.append(tokenOf(data));
      }
      return done ? tokens.toString() : tokens + " (no [DONE] event)";
    }

    private static String tokenOf(String data) {
      try {
        return MAPPER.readTree(data).path("text").asText();
      } catch (JsonProcessingException e) {
        return "(malformed event)";
      }
    }

    private String jsonField(String name) {
      try {
        return MAPPER.readTree(body.toString()).path(name).asText();
      } catch (JsonProcessingException e) {
        return "(malformed JSON)";
      }
    }

    private CallResult result(CallResult.Outcome outcome, String detail) {
      long now = System.nanoTime();
      return new CallResult(
          outcome,
          status,
          firstPartAt == 0 ? 0 : (firstPartAt - startedAt) / 1_000,
          List.copyOf(interTokenMicros),
          (now - startedAt) / 1_000,
          workspace,
          detail);
    }
  }
}
