package org.cornelchute.net.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cornelchute.net.platform.ConfigurationRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * One odd version of the rules must not end the process, or keep the control plane from following
 * later ones.
 */
@Timeout(60)
class ControlPlaneOddVersionsTest extends ControlPlaneFixture {

  /** Failure: a version of the rules without its text ended each process that read it. */
  @Test
  void followsTheRulesAfterOddVersions() throws Exception {
    putRow(ConfigurationRecord.HEAD_KEY, "1");
    start();
    for (String odd : oddRecords()) {
      putRow(ConfigurationRecord.key(1), odd);
      awaitReads(ConfigurationRecord.key(1));
      assertThat(controlPlane.rulesText().version()).as(odd).isZero();
    }
    putRules(1);
    await("version 1", () -> controlPlane.rulesText().version() == 1);
    putRules(2);
    await("version 2", () -> controlPlane.rulesText().version() == 2);
    assertThat(controlPlane.rulesText().text()).isEqualTo(RULES);
    assertThat(fatalErrors).isEmpty();
    assertThat(logLines).hasSizeLessThan(MAX_LOG_LINES);
    assertThat(logLines).allMatch(line -> line.length() < 1_000);
  }

  private static List<String> oddRecords() {
    String good = record(1).toJson();
    return List.of(
        "null",
        "{}",
        "{\"version\":1,\"text\":null,\"digest\":null}",
        good.replace("\"version\":1", "\"version\":100000000000000000000"),
        good.replace("\"version\":1", "\"version\":9223372036854775807"),
        good.replace("\"digest\":\"digest\"", "\"digest\":null"),
        good.replaceFirst("\"text\":\".*\"", "\"text\":7"),
        good.replaceFirst(
            "\"author\"", "\"a\":" + "[".repeat(400) + "]".repeat(400) + ",\"author\""),
        "[".repeat(50_000),
        "9".repeat(100_000));
  }
}
