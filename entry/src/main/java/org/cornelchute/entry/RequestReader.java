package org.cornelchute.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.routing.RequestSpec;
import org.cornelchute.policy.routing.Target;
import org.cornelchute.policy.rules.Rule;
import org.cornelchute.policy.rules.Rules;
import org.cornelchute.policy.util.RendezvousHash;
import org.cornelchute.policy.weights.Digests;

/** Converts the HTTP requests of callers to request specifications for the routing duty. */
final class RequestReader {

  private static final int MAX_PREFIX_CHARS = 256;
  private static final int CHARS_PER_TOKEN = 4;
  private static final int DEFAULT_OUTPUT_TOKENS = 256;

  /** Nominal cost in tokens of a request to a plain service, which has no tokens to count. */
  private static final int SERVICE_REQUEST_COST = 100;

  private final ObjectMapper mapper = new ObjectMapper();

  /** Reads a request to a model; fails if its body is invalid or the model unknown. */
  Either<Failure, RequestSpec> readModelRequest(Rules rules, RawRequest request) {
    JsonNode json;
    try {
      json = mapper.readTree(request.body);
    } catch (JsonProcessingException e) {
      return Either.left(Failure.invalid("request body is not JSON: " + e.getOriginalMessage()));
    } catch (IOException e) {
      return Either.left(Failure.invalid("request body cannot be read"));
    }
    if (json == null || !json.path("model").isTextual()) {
      return Either.left(
          Failure.invalid("'model' is missing or not a string; send the name of a model"));
    }
    String requestedModel = json.path("model").asText();
    Optional<Rule.Place> place = rules.findPlace(requestedModel);
    if (place.isEmpty()) {
      return Either.left(
          new Failure(
              Failure.Code.NOT_FOUND,
              "model '"
                  + requestedModel
                  + "' is not available; GET /v1/models lists the available models"));
    }
    JsonNode maxTokens = json.path("max_tokens");
    if (!maxTokens.isMissingNode() && (!maxTokens.isInt() || maxTokens.asInt() < 1)) {
      return Either.left(Failure.invalid("'max_tokens' is invalid; accepted: an integer from 1"));
    }
    String prompt =
        json.has("messages") ? json.path("messages").toString() : json.path("prompt").asText();
    String prefix = prompt.substring(0, Math.min(MAX_PREFIX_CHARS, prompt.length()));
    int outputTokens = maxTokens.asInt(DEFAULT_OUTPUT_TOKENS);
    int cost = prompt.length() / CHARS_PER_TOKEN + outputTokens;
    Target target = new Target(true, place.get().model());
    long prefixHash = RendezvousHash.weight(request.workspace, prefix);
    return Either.right(
        buildSpec(
            rules,
            request,
            target,
            true,
            json.path("stream").asBoolean(),
            cost,
            outputTokens,
            prefixHash));
  }

  /** Reads a request to a plain service. */
  RequestSpec readServiceRequest(Rules rules, RawRequest request, String service) {
    String name = rules.resolve(service);
    String pathWithoutQuery = request.path.split("\\?", 2)[0];
    boolean repeatable = rules.isRepeatable(name, request.method, pathWithoutQuery);
    return buildSpec(
        rules,
        request,
        new Target(false, name),
        repeatable,
        false,
        SERVICE_REQUEST_COST,
        SERVICE_REQUEST_COST,
        0);
  }

  private RequestSpec buildSpec(
      Rules rules,
      RawRequest request,
      Target target,
      boolean repeatable,
      boolean stream,
      int cost,
      int expectedOutputTokens,
      long prefixHash) {
    String claimRow =
        request.idempotencyKey.isEmpty() || repeatable
            ? ""
            : "claim-"
                + Digests.sha256(
                    (request.workspace + '\n' + request.idempotencyKey)
                        .getBytes(StandardCharsets.UTF_8));
    String fingerprint =
        claimRow.isEmpty()
            ? ""
            : Digests.sha256(
                (request.method + ' ' + request.path + '\n' + Digests.sha256(request.body))
                    .getBytes(StandardCharsets.UTF_8));
    return new RequestSpec(
        request.id,
        request.workspace,
        target,
        repeatable,
        stream,
        rules.priority(request.workspace, target.name()),
        cost,
        expectedOutputTokens,
        prefixHash,
        request.deadline,
        claimRow,
        fingerprint,
        request.method,
        request.path,
        request.contentType,
        request.body);
  }

  /**
   * An HTTP request as the caller sent it.
   *
   * @param id identity that the entry gave the request
   * @param workspace workspace that the request is charged to
   * @param method HTTP method
   * @param path path and query at the endpoint
   * @param contentType media type of the body, empty if unknown
   * @param idempotencyKey idempotency key of the caller, empty if there is none
   * @param deadline deadline of the request, in milliseconds of the monotonic clock
   * @param body the body, never null
   */
  record RawRequest(
      String id,
      String workspace,
      String method,
      String path,
      String contentType,
      String idempotencyKey,
      long deadline,
      byte[] body) {}
}
