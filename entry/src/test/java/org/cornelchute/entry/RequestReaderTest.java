package org.cornelchute.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.routing.RequestSpec;
import org.cornelchute.policy.routing.Target;
import org.cornelchute.policy.rules.Rules;
import org.cornelchute.policy.rules.RulesParser;
import org.junit.jupiter.api.Test;

class RequestReaderTest {

  private static final Rules RULES =
      RulesParser.parse(
              1,
              "place andina/m v1 on d=1 # asked: t\n"
                  + "alias old-name = andina/m # asked: t\n"
                  + "repeat pedidos POST /search # asked: t\n")
          .get();

  private final RequestReader reader = new RequestReader();

  private static RequestReader.RawRequest rawRequest(String method, String path, String body) {
    return new RequestReader.RawRequest(
        "id", "ws", method, path, "", "key", 100, body.getBytes(StandardCharsets.UTF_8));
  }

  private Failure readInvalid(String body) {
    return reader.readModelRequest(RULES, rawRequest("POST", "/v1/completions", body)).getLeft();
  }

  @Test
  void resolvesModelByShortNameAliasAndFullName() {
    for (String name : new String[] {"m", "old-name", "andina/m"}) {
      String body = "{\"model\":\"" + name + "\",\"prompt\":\"p\",\"max_tokens\":5}";
      RequestSpec spec =
          reader.readModelRequest(RULES, rawRequest("POST", "/v1/completions", body)).get();
      assertThat(spec.target()).isEqualTo(new Target(true, "andina/m"));
      assertThat(spec.claimRow()).isEmpty();
    }
  }

  @Test
  void reportsWhyTheBodyIsInvalid() {
    assertThat(readInvalid("{").message()).contains("not JSON");
    assertThat(readInvalid("{}").message()).contains("'model' is missing");
    assertThat(readInvalid("{\"model\":\"x\"}").code()).isEqualTo(Failure.Code.NOT_FOUND);
    assertThat(readInvalid("{\"model\":\"m\",\"max_tokens\":-1}").message()).contains("max_tokens");
  }

  @Test
  void claimsIdempotencyKeyOnlyForNonRepeatableRequests() {
    RequestSpec first =
        reader.readServiceRequest(RULES, rawRequest("POST", "/confirm", "a"), "pedidos");
    assertThat(first.repeatable()).isFalse();
    assertThat(first.claimRow()).startsWith("claim-");
    RequestSpec second =
        reader.readServiceRequest(RULES, rawRequest("POST", "/confirm", "b"), "pedidos");
    assertThat(second.claimRow()).isEqualTo(first.claimRow());
    assertThat(second.fingerprint()).isNotEqualTo(first.fingerprint());
    assertThat(
            reader
                .readServiceRequest(RULES, rawRequest("POST", "/search", "a"), "pedidos")
                .claimRow())
        .isEmpty();
  }
}
