package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Ids of the shared parts of a prompt, as callers list them. */
class SharedPartsParserTest {

  @Test
  void omitsTheLastPart() {
    assertThat(SharedPartsParser.parse("5c1e07a2:800,91bd3f06:410,e4402b7d:250"))
        .containsExactly(0x5c1e07a2L, 0x91bd3f06L);
    assertThat(SharedPartsParser.parse("5c1e07a2:800")).isEmpty();
    assertThat(SharedPartsParser.parse("")).isEmpty();
  }

  @Test
  void hashesIdsThatAreNoNumbers() {
    List<Long> ids = SharedPartsParser.parse("zz:1, ffffffffffffffff:2,,0123456789abcdef0:3,zz,b");
    assertThat(ids).hasSize(4).contains(-1L);
    assertThat(ids.get(0)).isEqualTo(ids.get(3)).isNotEqualTo(ids.get(2));
  }

  /** Guards against tokens that are counted for another part than theirs. */
  @Test
  void readsTokensOfTheSameParts() {
    String header = "a1:800, b2: 410 ,,:7,c3,d4:-5,e5:12345678,f6:1e3,a7:9:9,b8:0,last:250";
    assertThat(SharedPartsParser.parse(header)).hasSize(8);
    assertThat(SharedPartsParser.parseTokens(header)).containsExactly(800, 410, 0, 0, 0, 0, 0, 0);
    assertThat(SharedPartsParser.parseTokens("a:1,".repeat(5_000) + "b:1")).hasSize(32);
  }

  @Test
  void readsLimitedNumberOfParts() {
    assertThat(SharedPartsParser.parse("a:1,".repeat(5_000) + "b:1")).hasSize(32);
  }
}
