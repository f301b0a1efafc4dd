package org.cornelchute.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.outcome.Failure;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Reads the view that one member process has of all, over its operator port. */
final class MembersView {

  private static final Duration PATIENCE = Duration.ofSeconds(5);

  private final String operatorUrl;
  private final HttpClient http = HttpClient.create();
  private final ObjectMapper mapper =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  MembersView(String operatorUrl) {
    this.operatorUrl = operatorUrl;
  }

  /** Lists the members that the process knows. */
  Either<Failure, List<Member>> list() {
    return get("/members")
        .flatMap(
            text -> {
              try {
                return Either.right(Arrays.asList(mapper.readValue(text, Member[].class)));
              } catch (JsonProcessingException e) {
                return Either.left(Failure.invalid(operatorUrl + " is not an operator port"));
              }
            });
  }

  /** Reads the metrics of the process. */
  Either<Failure, Map<String, Object>> metrics() {
    return get("/metrics")
        .flatMap(
            text -> {
              try {
                @SuppressWarnings("unchecked")
                Map<String, Object> all = mapper.readValue(text, TreeMap.class);
                return Either.right(all);
              } catch (JsonProcessingException e) {
                return Either.left(Failure.invalid(operatorUrl + " is not an operator port"));
              }
            });
  }

  private Either<Failure, String> get(String path) {
    return http.get()
        .uri(operatorUrl + path)
        .responseContent()
        .aggregate()
        .asString()
        .map(Either::<Failure, String>right)
        .onErrorResume(
            e ->
                Mono.just(
                    Either.left(
                        Failure.unavailable(
                            "cannot reach "
                                + operatorUrl
                                + "; give a member's operator port with --member"))))
        .block(PATIENCE);
  }
}
