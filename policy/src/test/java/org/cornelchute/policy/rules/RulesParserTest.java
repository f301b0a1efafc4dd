package org.cornelchute.policy.rules;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RulesParserTest {

  private static Rules parseValid(String text) {
    Either<List<RuleError>, Rules> parsed = RulesParser.parse(7, text);
    assertThat(parsed.isRight()).as(parsed.toString()).isTrue();
    return parsed.get();
  }

  private static List<RuleError> parseInvalid(String text) {
    return RulesParser.parse(7, text).getLeft();
  }

  @Nested
  class Accepts {

    @Test
    void everyKindOfRule() {
      Rules rules =
          parseValid(
              String.join(
                  "\n",
                  "# a comment alone",
                  "alias jadran/zone-a = rijeka-a # asked: merger desk",
                  "place jadran/chute-llm v3 on jadran/zone-a=2 unavailable=2 # asked: desk",
                  "weight jadran/partner-a 30 # asked: board",
                  "limit jadran/partner-b 20rps burst=40 # asked: board",
                  "priority jadran/partner-a bunker-desk 5 # asked: board",
                  "out jadran/zone-a # asked: night shift",
                  "norepeat bunker-desk POST /release # asked: billing",
                  "repeat bunker-desk POST /search # asked: billing",
                  "key jadran/partner-a " + "a".repeat(64) + " # asked: board"));
      assertThat(rules.isDomainOut("rijeka-a")).isTrue();
      assertThat(rules.places().get(0).replicas()).containsEntry("rijeka-a", 2);
      assertThat(rules.weight("jadran/partner-a")).isEqualTo(30);
      assertThat(rules.isRepeatable("bunker-desk", "POST", "/search")).isTrue();
      assertThat(rules.isRepeatable("bunker-desk", "POST", "/other")).isFalse();
      assertThat(rules.isRepeatable("bunker-desk", "GET", "/stock")).isTrue();
      assertThat(rules.findPlace("chute-llm")).isPresent();
    }
  }

  @Nested
  class Rejects {

    @Test
    void allErrorsTogetherWithLineAndColumn() {
      List<RuleError> errors =
          parseInvalid("weight a x # asked: b\nfrob # asked: c\nout rijeka-a\n");
      assertThat(errors).extracting(RuleError::line).containsExactly(1, 2, 3);
      assertThat(errors.get(0).column()).isEqualTo(10);
      assertThat(errors.get(2).message()).contains("who asked");
    }

    @Test
    void ambiguousNameWithoutFleetAndReportsBothLines() {
      String text = "place m v1 on d=1 # asked: a\nplace jadran/m v1 on d=1 # asked: b\n";
      RuleError error = parseInvalid(text).get(0);
      assertThat(error.line()).isEqualTo(2);
      assertThat(error.message()).contains("line 1");
    }

    @Test
    void contradictingLines() {
      assertThat(parseInvalid("weight a 1 # asked: b\nweight a 2 # asked: b\n")).hasSize(1);
    }
  }

  @Property(tries = 300, seed = "11")
  void neverThrows(@ForAll String text) {
    assertThat(RulesParser.parse(1, text)).isNotNull();
  }
}
