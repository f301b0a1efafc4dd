package org.cornelchute.policy.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cornelchute.core.message.ControlMessage.EndpointSpeedsReport;
import org.cornelchute.core.model.EndpointSpeed;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Speeds that endpoints state, and their exchange between entries; virtual time. */
class EndpointSpeedsTest {

  private static final int ENDPOINT = -7;
  private static final long START_MILLIS = 1_000_000;

  private final EndpointSpeeds speeds = new EndpointSpeeds();
  private final SpeedEstimate estimate = speeds.of(ENDPOINT);
  private long now = START_MILLIS;

  private void respond(String speed) {
    speeds.recordResponse(now, ENDPOINT, EndpointLoad.parse("3,0,12" + speed));
  }

  private void report(double slowdown, long ageMillis) {
    speeds.recordReport(
        now, new EndpointSpeedsReport(List.of(new EndpointSpeed(ENDPOINT, slowdown, ageMillis))));
  }

  // Failure: an endpoint whose condition has changed is avoided for as long as nobody calls it.
  @Test
  void returnsToNormalAsTheLastSampleAges() {
    respond(",250");
    double before = estimate.slowdown(now);
    assertThat(before).as("one sample is weak evidence").isBetween(1.6, 2.2);
    for (int i = 0; i < 14; i++) {
      now += 100;
      assertThat(estimate.slowdown(now)).isLessThan(before);
      before = estimate.slowdown(now);
    }
    assertThat(before).isLessThan(1.1);
    now = START_MILLIS + SpeedEstimate.MAX_AGE_MILLIS;
    assertThat(estimate.slowdown(now)).isEqualTo(1);
  }

  // Failure: a change of condition every 600 ms is noticed when it is over.
  @Test
  void followsChangesEvery600Millis() {
    for (int phase = 0; phase < 6; phase++) {
      boolean slow = phase % 2 == 0;
      for (int i = 0; i < 12; i++) {
        now += 50;
        respond(slow ? ",250" : ",100");
        if (i == 5) {
          double middle = estimate.slowdown(now);
          assertThat(middle > 1.75).as("half of the phase %s at %s", phase, middle).isEqualTo(slow);
        }
      }
      assertThat(estimate.slowdown(now)).isCloseTo(slow ? 2.2 : 1.1, within(0.25));
    }
  }

  // Failure: endpoints that state no speed, or the normal one, compare by anything but their load.
  @Test
  void isExactlyNormalWithoutOtherSpeeds() {
    for (int i = 0; i < 1_000; i++) {
      now += 7;
      respond(i % 3 == 0 ? "" : ",100");
      report(1, i % 40);
      assertThat(estimate.slowdown(now)).isEqualTo(1);
      assertThat(speeds.takeReport(now).speeds()).isEmpty();
    }
    assertThat(speeds.slowCount(now)).isZero();
  }

  // Failure: one endpoint that states an absurd speed gets all calls, or none for long.
  @Test
  void clampsSpeeds() {
    for (int i = 0; i < 20; i++) {
      respond(",10000");
      report(100, 0);
    }
    assertThat(estimate.slowdown(now)).isBetween(10.0, 16.0);
    now += 10_000;
    for (int i = 0; i < 20; i++) {
      respond(",1");
      report(0.001, 0);
    }
    assertThat(estimate.slowdown(now)).isBetween(0.25, 0.5);
  }

  // Failure: another build or a damaged message takes an endpoint out of use.
  @ParameterizedTest
  @CsvSource({
    "NaN, 0",
    "Infinity, 0",
    "-Infinity, 0",
    "-2, 0",
    "0, 0",
    "100.5, 0",
    "2.5, -1",
    "2.5, 1500",
    "2.5, -9223372036854775808",
    "2.5, 9223372036854775807"
  })
  void ignoresReportsThatCannotBeRight(double slowdown, long ageMillis) {
    report(slowdown, ageMillis);
    assertThat(estimate.slowdown(now)).isEqualTo(1);
  }

  // Failure: reports on endpoints that are not listed fill the memory.
  @Test
  void keepsNothingOnEndpointsThatAreNotListed() {
    respond(",250");
    speeds.recordResponse(now, ENDPOINT + 1, EndpointLoad.parse("3,0,12,250"));
    speeds.recordReport(
        now, new EndpointSpeedsReport(List.of(new EndpointSpeed(ENDPOINT + 2, 9, 0))));
    assertThat(speeds.slowCount(now)).isEqualTo(1);
    speeds.retain(Set.of(ENDPOINT + 3));
    assertThat(speeds.slowCount(now)).isZero();
    assertThat(speeds.takeReport(now).speeds()).as("endpoint that is gone").isEmpty();
  }

  // Failure: reports grow with the number of endpoints, or the same endpoints fill each of them.
  @Test
  void reportsFewChangedSpeedsAtOnceAndAllInTurn() {
    for (int i = 0; i < 40; i++) {
      speeds.of(i);
      speeds.recordResponse(now, i, EndpointLoad.parse("3,0,12,250"));
    }
    List<EndpointSpeed> sent = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      EndpointSpeedsReport report = speeds.takeReport(now + 100 * i);
      assertThat(report.speeds()).hasSizeLessThanOrEqualTo(16);
      sent.addAll(report.speeds());
    }
    assertThat(sent).extracting(EndpointSpeed::endpoint).doesNotHaveDuplicates().hasSize(40);
    assertThat(sent.get(0)).isEqualTo(new EndpointSpeed(0, 2.5, 0));
    assertThat(sent.get(39).ageMillis()).isEqualTo(200);
  }

  // Failure: a lost report leaves the other entries without a speed that still holds; one that does
  // not change is sent again with each response.
  @Test
  void repeatsSlowSpeedsThatResponsesConfirm() {
    int reports = 0;
    for (int i = 0; i < 60; i++) {
      now += 50;
      respond(",250");
      reports += speeds.takeReport(now).speeds().size();
    }
    assertThat(reports).isBetween(9, 11);
    now += 400;
    assertThat(speeds.takeReport(now).speeds()).as("no response since").isEmpty();
    for (int i = 0; i < 20; i++) {
      now += 50;
      respond(",100");
      speeds.takeReport(now);
    }
    now += 400;
    respond(",100");
    assertThat(speeds.takeReport(now).speeds()).as("normal again, and reported").isEmpty();
  }

  // Failure: an endpoint that is normal again is avoided while old reports of it arrive, since the
  // entries that got its responses do not contradict.
  @Test
  void contradictsReportsThatNoLongerHold() {
    report(2.5, 0);
    respond(",100");
    EndpointSpeedsReport report = speeds.takeReport(now);
    assertThat(report.speeds()).containsExactly(new EndpointSpeed(ENDPOINT, 1, 0));
    now += 50;
    respond(",100");
    assertThat(speeds.takeReport(now).speeds()).as("bounded in time").isEmpty();
    now += 1_000;
    respond(",100");
    assertThat(speeds.takeReport(now).speeds()).as("the report is old").isEmpty();
  }

  // Failure: what other entries report is passed on as an own observation and never ends.
  @Test
  void passesNoReportsOn() {
    report(4, 0);
    assertThat(estimate.slowdown(now)).isGreaterThan(1.5);
    for (int i = 0; i < 40; i++) {
      now += 100;
      assertThat(speeds.takeReport(now).speeds()).isEmpty();
    }
  }
}
