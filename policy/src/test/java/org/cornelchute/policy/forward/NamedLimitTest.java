package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Texts in which endpoints name their limits. */
class NamedLimitTest {

  @Test
  void readsDecimalNumbers() {
    assertThat(NamedLimit.parse("1.4").perSecond()).isEqualTo(1.4);
    assertThat(NamedLimit.parse(" 20 ").perSecond()).isEqualTo(20);
    assertThat(NamedLimit.parse("0.05").kind()).isEqualTo(NamedLimit.Kind.NAMED);
    assertThat(NamedLimit.parse("0")).isEqualTo(new NamedLimit(NamedLimit.Kind.NAMED, 0));
    assertThat(NamedLimit.parse(null)).isEqualTo(NamedLimit.NONE);
  }

  // Failure: a limit with more digits than expected was ignored.
  @Test
  void readsNumbersWithManyDigits() {
    assertThat(NamedLimit.parse("2.4000000000000004").perSecond()).isEqualTo(2.4000000000000004);
    assertThat(NamedLimit.parse("0." + "3".repeat(40)).kind()).isEqualTo(NamedLimit.Kind.NAMED);
    assertThat(NamedLimit.parse("00000000000000000001.0").perSecond()).isEqualTo(1);
  }

  // Failure: a text that is no limit is taken for a limit of zero.
  @ParameterizedTest
  @ValueSource(strings = {"", "none", "-1", "NaN", "Infinity", "1,5", "1e9", "0x1p3", "1.2.3", "."})
  void doesNotGuessFromOtherTexts(String text) {
    assertThat(NamedLimit.parse(text)).isEqualTo(NamedLimit.UNREADABLE);
  }
}
