package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cornelchute.policy.forward.Fixture.dispatch;
import static org.cornelchute.policy.forward.Fixture.engine;
import static org.cornelchute.policy.forward.Fixture.find;
import static org.cornelchute.policy.forward.Fixture.rejection;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Reports of agents on weights switches hold in whichever order the tables are read. */
class WeightsSwitchTest {

  private static final String HOST = "10.0.0.1";
  private static final WeightsSwitch SWITCHING = new WeightsSwitch(1, 2, 1);

  private final Fixture fixture = new Fixture();

  /** Failure: a report that was read before the list of endpoints, after a start, was lost. */
  @Test
  void avoidsEngineWhoseSwitchWasReadBeforeTheEndpoints() {
    fixture.decider.updateWeightsSwitches(fixture.now, Map.of(HOST, SWITCHING));
    fixture.withEndpoints(engine("a", "d1", 1));
    assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
  }

  /** Failure: a report was lost when the registration of its engine expired and came back. */
  @Test
  void avoidsSwitchingEngineThatRegistersAgain() {
    fixture.withEndpoints(engine("a", "d1", 1), engine("b", "d1", 1));
    fixture.decider.updateWeightsSwitches(fixture.now, Map.of(HOST, SWITCHING));
    fixture.decider.updateEndpoints(fixture.now, List.of(engine("b", "d1", 1)));
    fixture.decider.updateEndpoints(fixture.now, List.of(engine("a", "d1", 1)));
    assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
  }

  /** Guards against reports that hold longer when the endpoints are read late. */
  @Test
  void usesEngineWhoseReportExpiredBeforeTheEndpointsWereRead() {
    fixture.decider.updateWeightsSwitches(fixture.now, Map.of(HOST, SWITCHING));
    fixture.now += 4_000;
    fixture.withEndpoints(engine("a", "d1", 1));
    assertThat(find(fixture.call("/s/"), CallEffect.Dispatch.class)).isPresent();
  }

  /**
   * Failure: a call that was on its way for 2 s, to an engine whose link was full, started on
   * superseded weights after the limit.
   */
  @Test
  void sendsNoCallsLateToEnginesWithSupersededWeightsThatDoNotRespond() {
    fixture.withEndpoints(engine("a", "d1", 1));
    fixture.decider.recordVersion(fixture.now, fixture.now, "m", 2);
    fixture.now += 4_000;
    fixture.decider.recordConfirmation(fixture.now);
    final CallEffect.Dispatch first = dispatch(fixture.call("/s/"));
    fixture.now += 1_000;
    fixture.decider.sweep(fixture.now);
    // Within the grace period of 7 s, but a call may be on its way until after it.
    assertThat(rejection(fixture.call("/s/"))).isEqualTo(Rejection.NO_ENDPOINT);
    // The engine responds again, so that calls arrive in time.
    fixture.decider.onResponseHead(
        fixture.now,
        first.call(),
        first.attempt(),
        new ResponseHead(200, false, false, true, false, 1, -1, 0, NamedLimit.NONE));
    assertThat(find(fixture.call("/s/"), CallEffect.Dispatch.class)).isPresent();
  }

  /** Guards against engines that are not used though no new weights were assigned. */
  @Test
  void usesEnginesThatDoNotRespondIfTheirWeightsAreCurrent() {
    fixture.withEndpoints(engine("a", "d1", 1));
    dispatch(fixture.call("/s/"));
    fixture.now += 1_000;
    fixture.decider.sweep(fixture.now);
    assertThat(find(fixture.call("/s/"), CallEffect.Dispatch.class)).isPresent();
  }

  /** Guards against reports on an engine that ended being used for its successor. */
  @Test
  void usesNewIncarnationOfSwitchingEngine() {
    fixture.decider.updateWeightsSwitches(fixture.now, Map.of(HOST, new WeightsSwitch(9, 2, 1)));
    fixture.withEndpoints(engine("a", "d1", 1));
    assertThat(find(fixture.call("/s/"), CallEffect.Dispatch.class)).isPresent();
  }
}
