package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.IntSummaryStatistics;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Engines of which some are slow, others after each change; virtual time. */
class SlowEndpointsTest {

  private static final long RUN_MILLIS = 12_000;
  private static final int ENGINES = 36;
  private static final double CALLS_PER_SECOND = 500;

  private static SlowEndpointsSimulation run(
      int entries, double slowShare, boolean statesSpeeds, double reportLoss) {
    return run(entries, slowShare, statesSpeeds, reportLoss, CALLS_PER_SECOND);
  }

  private static SlowEndpointsSimulation run(
      int entries,
      double slowShare,
      boolean statesSpeeds,
      double reportLoss,
      double callsPerSecond) {
    SlowEndpointsSimulation simulation =
        new SlowEndpointsSimulation(entries, ENGINES, slowShare, entries);
    simulation.statesSpeeds = statesSpeeds;
    simulation.reportLoss = reportLoss;
    simulation.run(callsPerSecond, RUN_MILLIS);
    assertThat(simulation.firstEventMillis).as("calls served").hasSize(simulation.callCount);
    return simulation;
  }

  // Failure: calls go to slow engines as often as to the others, although responses state the
  // speed, or the entries know it only after it has changed.
  @ParameterizedTest
  @CsvSource({"3, 0.10, 0.07", "13, 0.05, 0.03", "18, 0.03, 0.015", "40, 0.03, 0.015"})
  void beginsCallsSoonerIfHalfOfTheEnginesAreSlow(
      int entries, double shorterBy, double onTimeGain) {
    SlowEndpointsSimulation unknown = run(entries, 0.5, false, 0);
    SlowEndpointsSimulation known = run(entries, 0.5, true, 0);
    // Of 102 ms, what a call takes at an engine of normal speed cannot be saved.
    double excess = unknown.meanFirstEventMillis() - 102;
    assertThat(known.meanFirstEventMillis())
        .isLessThan(unknown.meanFirstEventMillis() - shorterBy * excess);
    assertThat(known.shareWithin(150)).isGreaterThan(unknown.shareWithin(150) + onTimeGain);
  }

  // Failure: lost reports leave entries with speeds that no longer hold, worse than none.
  @ParameterizedTest
  @CsvSource({"3, 0.5", "13, 0.5", "13, 1", "18, 0.5", "18, 1", "40, 0.5", "40, 1"})
  void isNoWorseThanWithoutSpeedsIfReportsAreLost(int entries, double loss) {
    SlowEndpointsSimulation unknown = run(entries, 0.5, false, 0);
    SlowEndpointsSimulation lossy = run(entries, 0.5, true, loss);
    assertThat(lossy.meanFirstEventMillis()).isLessThan(unknown.meanFirstEventMillis() * 1.01);
  }

  // Failure: all entries send their calls to the one engine that is normal while the others are
  // slow, or to those that have just become so.
  @ParameterizedTest
  @CsvSource({"13, 0.97", "18, 0.97", "40, 0.97", "13, 0.5", "18, 0.5", "40, 0.5"})
  void doesNotHerd(int entries, double slowShare) {
    SlowEndpointsSimulation simulation = run(entries, slowShare, true, 0, CALLS_PER_SECOND / 2);
    assertThat(simulation.mostCallsAtOnce()).isLessThanOrEqualTo(SlowEndpointsSimulation.SLOTS + 3);
    IntSummaryStatistics calls =
        simulation.engines.stream()
            .mapToInt(SlowEndpointsSimulation.Engine::callCount)
            .summaryStatistics();
    assertThat(calls.getMax()).isLessThan((int) (1.5 * calls.getAverage()));
  }

  // Failure: stating the normal speed changes the choice.
  @ParameterizedTest
  @ValueSource(ints = {3, 13, 40})
  void servesAsBeforeIfAllEnginesAreNormal(int entries) {
    SlowEndpointsSimulation unknown = run(entries, 0, false, 0);
    SlowEndpointsSimulation known = run(entries, 0, true, 0);
    assertThat(known.firstEventMillis).isEqualTo(unknown.firstEventMillis);
    for (int i = 0; i < ENGINES; i++) {
      assertThat(known.engines.get(i).callCount()).isEqualTo(unknown.engines.get(i).callCount());
    }
  }
}
