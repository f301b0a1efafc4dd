package org.cornelchute.core.cfg;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {

  private record Inner(String name, int port) implements Settings {
    Inner {
      Checks.requireRange("inner/port", port, 1, 65_535, "(a port)");
    }
  }

  private record Sample(Inner inner, long millis) implements Settings {}

  private static final Sample DEFAULTS = new Sample(new Inner("x", 80), 5);
  private final SettingsReader reader = new SettingsReader();

  private String errorMessage(String text) {
    return reader.parse("s.json", text, DEFAULTS).getLeft().message();
  }

  @Test
  void readsCommentsAndKeepsDefaultsForMissingKeys() {
    Sample settings = reader.parse("s", "{ // why\n \"inner\": {\"port\": 81}, }", DEFAULTS).get();
    assertThat(settings).isEqualTo(new Sample(new Inner("x", 81), 5));
  }

  @Test
  void readsItsOwnJson() {
    assertThat(reader.parse("s", reader.toJson(DEFAULTS), DEFAULTS).get()).isEqualTo(DEFAULTS);
  }

  @Nested
  class ReportsFileLineAndAcceptedForm {

    @Test
    void forUnknownKey() {
      assertThat(errorMessage("{\n  \"inner\": {\n    \"prot\": 1}}"))
          .startsWith("s.json:3: unknown key 'prot'")
          .contains("[name, port]");
    }

    @Test
    void forValueOfWrongType() {
      assertThat(errorMessage("{\n\"millis\": \"soon\"}"))
          .startsWith("s.json:2:")
          .contains("millis");
    }

    @Test
    void forValueOutOfRange() {
      assertThat(errorMessage("{\"inner\": {\"port\": 0}}")).contains("accepted: 1 to 65535");
    }

    @Test
    void forInvalidJson() {
      assertThat(errorMessage("{\n\n]")).startsWith("s.json:3: not JSON");
    }

    @Test
    void forUnreadableFile() {
      assertThat(reader.read(Path.of("no-such-file"), DEFAULTS).getLeft().message())
          .contains("no-such-file");
    }
  }
}
