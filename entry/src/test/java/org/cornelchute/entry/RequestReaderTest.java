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

  private static RequestReader.Envelope envelope(String method, String path, String body) {
    return new RequestReader.Envelope(
        "id", "ws", method, path, "", "key", 100, body.getBytes(StandardCharsets.UTF_8));
  }

  private Failure fault(String body) {
    return reader.readModel(RULES, envelope("POST", "/v1/completions", body)).getLeft();
  }

  @Test
  void resolvesModelByBareAliasedAndFullName() {
    for (String name : new String[] {"m", "old-name", "andina/m"}) {
      String body = "{\"model\":\"" + name + "\",\"prompt\":\"p\",\"max_tokens\":5}";
      RequestSpec s = reader.readModel(RULES, envelope("POST", "/v1/completions", body)).get();
      assertThat(s.target()).isEqualTo(new Target(true, "andina/m"));
      assertThat(s.claimRow()).isEmpty();
    }
  }

  @Test
  void saysWhatIsWrongWithTheBody() {
    assertThat(fault("{").message()).contains("not JSON");
    assertThat(fault("{}").message()).contains("'model' is missing");
    assertThat(fault("{\"model\":\"x\"}").code()).isEqualTo(Failure.Code.NOT_FOUND);
    assertThat(fault("{\"model\":\"m\",\"max_tokens\":-1}").message()).contains("max_tokens");
  }

  @Test
  void claimsTheKeyOfCallsThatMayNotBeRepeatedOnly() {
    RequestSpec confirm = reader.readService(RULES, envelope("POST", "/confirm", "a"), "pedidos");
    assertThat(confirm.repeatable()).isFalse();
    assertThat(confirm.claimRow()).startsWith("claim-");
    RequestSpec other = reader.readService(RULES, envelope("POST", "/confirm", "b"), "pedidos");
    assertThat(other.claimRow()).isEqualTo(confirm.claimRow());
    assertThat(other.fingerprint()).isNotEqualTo(confirm.fingerprint());
    assertThat(reader.readService(RULES, envelope("POST", "/search", "a"), "pedidos").claimRow())
        .isEmpty();
  }
}
