package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.cornelchute.policy.forward.ClusterSimulation.Outcomes;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates calls of several priorities that ask for about a third more than 36 engines carry, in
 * virtual time.
 *
 * <p>Load: long calls of the lowest priority beside short ones of higher priorities, which have the
 * shorter target latency and the higher worth.
 */
class RankedLoadTest {

  private static final int ENGINES = 36;
  private static final long RUN_MILLIS = 10_000;
  private static final double BURST_FACTOR = 2.4;
  private static final long BURST_MILLIS = 6_000;

  /** Share of the most urgent calls whose first event must be in time. */
  private static final double MIN_URGENT_IN_TIME = 0.85;

  /** Share of the calls of each priority that must be served, so that none is starved. */
  private static final double MIN_SERVED = 0.15;

  /**
   * Failure: calls are accepted in order of arrival, so that the most urgent ones are rejected as
   * often as the least urgent ones; or many entries that see the same load all choose the same
   * engine, so that urgent calls wait there.
   */
  @ParameterizedTest
  @ValueSource(ints = {3, 13, 18, 40})
  void servesUrgentCallsFirstWhateverTheNumberOfEntries(int entries) {
    ClusterSimulation simulation = simulate(entries, LoadMix.RANKED);
    Outcomes summary = simulation.outcomesByKind.get("summary");
    assertThat(summary.inTimeShare()).as("%s", summary).isGreaterThan(MIN_URGENT_IN_TIME);
    assertThat(summary.rejectedTwice).isZero();
    for (Outcomes outcomes : simulation.outcomesByKind.values()) {
      assertThat(outcomes.servedShare()).as("%s", outcomes).isGreaterThan(MIN_SERVED);
    }
  }

  /** Failure: a burst of the longest calls of the lowest priority takes the room of urgent ones. */
  @Test
  void keepsRoomForUrgentCallsInBurstOfOthers() {
    LoadMix mix =
        LoadMix.RANKED.withBurst(
            "draft",
            BURST_FACTOR,
            ClusterSimulation.START_MILLIS + 2_000,
            ClusterSimulation.START_MILLIS + 2_000 + BURST_MILLIS);
    Outcomes summary = simulate(13, mix).outcomesByKind.get("summary");
    assertThat(summary.inTimeShare()).as("%s", summary).isGreaterThan(MIN_URGENT_IN_TIME);
  }

  /** Failure: room that is reserved for urgent calls stays empty although none come. */
  @Test
  void usesAllRoomForOneKindAlone() {
    LoadMix mix = LoadMix.RANKED;
    LoadMix draftsOnly = new LoadMix(mix.engine(), mix.slots(), mix.kinds().subList(0, 1));
    ClusterSimulation ranked = simulate(13, draftsOnly);
    ClusterSimulation unranked = simulate(13, draftsOnly.withOnePriority(1));
    assertThat(ranked.worthServed).isGreaterThanOrEqualTo(unranked.worthServed);
  }

  /** Failure: reserving room costs callers together more than it gains. */
  @Test
  void servesMoreWorthThanInOrderOfArrival() {
    ClusterSimulation ranked = simulate(13, LoadMix.RANKED);
    ClusterSimulation unranked = simulate(13, LoadMix.RANKED.withOnePriority(1));
    assertThat(ranked.netGoodput()).isGreaterThan(unranked.netGoodput() + 0.2);
  }

  private static ClusterSimulation simulate(int entries, LoadMix mix) {
    ClusterSimulation simulation = new ClusterSimulation(entries, ENGINES, 1, Fixture.OPTIONS, mix);
    simulation.run(RUN_MILLIS);
    return simulation;
  }
}
