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

/** Turns a caller's HTTP request into what the routing duty decides on. */
final class RequestReader {

  private static final int MAX_PREFIX_CHARS = 256;
  private static final int CHARS_PER_TOKEN = 4;
  private static final int DEFAULT_OUTPUT_TOKENS = 256;
  private static final int SERVICE_REQUEST_COST = 100;

  private final ObjectMapper mapper = new ObjectMapper();

  /** Reads a request for a model. */
  Either<Failure, RequestSpec> readModelRequest(Rules rules, RawRequest e) {
    JsonNode json;
    try {
      json = mapper.readTree(e.body);
    } catch (JsonProcessingException x) {
      return Either.left(Failure.invalid("the body is not JSON: " + x.getOriginalMessage()));
    } catch (IOException x) {
      return Either.left(Failure.invalid("the body cannot be read"));
    }
    if (json == null || !json.path("model").isTextual()) {
      return Either.left(Failure.invalid("'model' is missing; give the name of a model"));
    }
    String asked = json.path("model").asText();
    Optional<Rule.Place> place = rules.findPlace(asked);
    if (place.isEmpty()) {
      return Either.left(
          new Failure(
              Failure.Code.NOT_FOUND,
              "no model '" + asked + "' is placed; GET /v1/models lists those that are"));
    }
    JsonNode max = json.path("max_tokens");
    if (!max.isMissingNode() && (!max.isInt() || max.asInt() < 1)) {
      return Either.left(Failure.invalid("'max_tokens' must be a whole number from 1"));
    }
    String prompt =
        json.has("messages") ? json.path("messages").toString() : json.path("prompt").asText();
    String prefix = prompt.substring(0, Math.min(MAX_PREFIX_CHARS, prompt.length()));
    int generated = max.asInt(DEFAULT_OUTPUT_TOKENS);
    int cost = prompt.length() / CHARS_PER_TOKEN + generated;
    Target target = new Target(true, place.get().model());
    long hash = RendezvousHash.weight(e.workspace, prefix);
    return Either.right(
        buildSpec(rules, e, target, true, json.path("stream").asBoolean(), cost, generated, hash));
  }

  /** Reads a request for a plain service. */
  RequestSpec readServiceRequest(Rules rules, RawRequest e, String service) {
    String name = rules.resolve(service);
    String bare = e.path.split("\\?", 2)[0];
    boolean repeatable = rules.isRepeatable(name, e.method, bare);
    return buildSpec(
        rules,
        e,
        new Target(false, name),
        repeatable,
        false,
        SERVICE_REQUEST_COST,
        SERVICE_REQUEST_COST,
        0);
  }

  private RequestSpec buildSpec(
      Rules rules,
      RawRequest e,
      Target target,
      boolean repeatable,
      boolean stream,
      int cost,
      int generated,
      long prefix) {
    String claim =
        e.idempotencyKey.isEmpty() || repeatable
            ? ""
            : "claim-"
                + Digests.sha256(
                    (e.workspace + '\n' + e.idempotencyKey).getBytes(StandardCharsets.UTF_8));
    String fingerprint =
        claim.isEmpty()
            ? ""
            : Digests.sha256(
                (e.method + ' ' + e.path + '\n' + Digests.sha256(e.body))
                    .getBytes(StandardCharsets.UTF_8));
    return new RequestSpec(
        e.id,
        e.workspace,
        target,
        repeatable,
        stream,
        rules.priority(e.workspace, target.name()),
        cost,
        generated,
        prefix,
        e.deadline,
        claim,
        fingerprint,
        e.method,
        e.path,
        e.contentType,
        e.body);
  }

  /**
   * What HTTP says of a request.
   *
   * @param id identity given to it
   * @param workspace payer
   * @param method HTTP method
   * @param path path at the endpoint, with the query
   * @param contentType type of the body, or empty
   * @param idempotencyKey the caller's idempotency key, or empty
   * @param deadline time by which the caller wants the answer
   * @param body the body
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
