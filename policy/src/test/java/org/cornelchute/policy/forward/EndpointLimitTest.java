package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Engines that name the calls per second which they take from all entries; virtual time. */
class EndpointLimitTest {

  private static final long NAMED_MILLIS = 5_000;
  private static final long STABILITY_MILLIS = 3_000;
  private static final long END_MILLIS = 45_000;
  private static final long HARMLESS_PART = 1;

  private static EngineSimulation simulation(int entries, long seed, double callsPerEntry) {
    EngineSimulation simulation = new EngineSimulation(entries, entries + 4, seed);
    simulation.sendCalls(
        0, END_MILLIS, callsPerEntry * entries, () -> List.of(HARMLESS_PART), simulation::anyEntry);
    return simulation;
  }

  private static int allowed(double perSecond) {
    return (int) (4 * 1.5 * perSecond + 5);
  }

  // Failure: each entry sends as many calls to an engine in need as to any other.
  @ParameterizedTest
  @CsvSource({
    "4, 1, 1.4",
    "6, 2, 1",
    "6, 3, 1.4",
    "6, 4, 0.2",
    "13, 5, 3",
    "40, 6, 1",
    "40, 7, 8",
    "6, 8, 0"
  })
  void sendsNoMoreThanNamedLimit(int entries, long seed, double limit) {
    EngineSimulation simulation = simulation(entries, seed, 10);
    simulation.nameLimit(NAMED_MILLIS, 0, Double.toString(limit));
    simulation.run(END_MILLIS);
    assertThat(simulation.mostArrivalsIn4Seconds(0, NAMED_MILLIS + STABILITY_MILLIS, END_MILLIS))
        .isLessThanOrEqualTo(allowed(limit));
    long start = EngineSimulation.START_MILLIS;
    assertThat(simulation.beginShare(start + 8_000, start + END_MILLIS - 2_000, -1))
        .as("share of calls that began, as the other engines are free")
        .isGreaterThan(0.95);
  }

  // Failure: the service is short, and each entry passes what it refuses on to the next engine.
  @ParameterizedTest
  @CsvSource({"4, 1", "6, 2", "13, 3"})
  void sendsNoMoreThanNamedLimitsOfAllEngines(int entries, long seed) {
    EngineSimulation simulation = simulation(entries, seed, 10);
    for (int slot = 0; slot < entries + 4; slot++) {
      simulation.nameLimit(NAMED_MILLIS, slot, "2.5");
    }
    simulation.run(END_MILLIS);
    for (int slot = 0; slot < entries + 4; slot++) {
      assertThat(
              simulation.mostArrivalsIn4Seconds(slot, NAMED_MILLIS + STABILITY_MILLIS, END_MILLIS))
          .isLessThanOrEqualTo(allowed(2.5));
      assertThat(simulation.arrivalsAt(slot, 20_000, 40_000)).isGreaterThan(10);
    }
  }

  // Failure: a limit that changes is followed late or not at all.
  @Test
  void followsLimitThatChangesAndEnds() {
    EngineSimulation simulation = simulation(6, 3, 20);
    simulation.nameLimit(NAMED_MILLIS, 0, "6");
    simulation.nameLimit(20_000, 0, "1");
    simulation.nameLimit(34_000, 0, null);
    simulation.run(END_MILLIS);
    assertThat(simulation.mostArrivalsIn4Seconds(0, NAMED_MILLIS + STABILITY_MILLIS, 34_000))
        .isLessThanOrEqualTo(allowed(6));
    assertThat(simulation.arrivalsAt(0, 24_000, 28_000)).isLessThanOrEqualTo(allowed(1));
    assertThat(simulation.arrivalsAt(0, 28_000, 32_000)).isLessThanOrEqualTo(allowed(1));
    assertThat(simulation.arrivalsAt(0, 40_000, 44_000)).isGreaterThan(allowed(6));
  }

  // Failure: a limit that cannot be read is taken for zero, or ends the limit named before.
  @Test
  void keepsLimitWhileItCannotBeRead() {
    EngineSimulation simulation = simulation(6, 4, 10);
    simulation.nameLimit(0, 0, "soon");
    simulation.nameLimit(10_000, 0, "2");
    simulation.nameLimit(20_000, 0, "2,5");
    simulation.run(END_MILLIS);
    assertThat(simulation.arrivalsAt(0, 2_000, 10_000)).isGreaterThan(20);
    assertThat(simulation.mostArrivalsIn4Seconds(0, 13_000, END_MILLIS))
        .isLessThanOrEqualTo(allowed(2));
  }

  // Failure: entries that no longer tell the others or never were told use the share of all.
  @ParameterizedTest
  @CsvSource({"6, 1, 1", "6, 2, 5", "13, 3, 2"})
  void staysWithinLimitWhenEntriesAreCutOffFromEachOther(int entries, long seed, double limit) {
    EngineSimulation simulation = simulation(entries, seed, 10);
    simulation.nameLimit(NAMED_MILLIS, 0, Double.toString(limit));
    for (int entry = 0; entry < entries; entry++) {
      int cutOff = entry;
      simulation.at(4_000 + 500L * entry, () -> simulation.setReporting(cutOff, false));
    }
    simulation.run(END_MILLIS);
    assertThat(simulation.mostArrivalsIn4Seconds(0, NAMED_MILLIS + STABILITY_MILLIS, END_MILLIS))
        .isLessThanOrEqualTo(allowed(limit));
  }

  // Failure: an engine whose limit fewer entries may use than there are is never used again, as the
  // entries that may are gone.
  @Test
  void usesEngineAgainWhoseLimitEndedUnnoticed() {
    EngineSimulation simulation = new EngineSimulation(6, 10, 5);
    simulation.sendCalls(0, 7_000, 60, () -> List.of(HARMLESS_PART), simulation::anyEntry);
    // From here on, only one entry gets calls.
    simulation.sendCalls(7_000, 90_000, 60, () -> List.of(HARMLESS_PART), () -> 3);
    for (int slot = 0; slot < 10; slot++) {
      simulation.nameLimit(NAMED_MILLIS, slot, "0.1");
      simulation.nameLimit(9_000, slot, null);
    }
    simulation.run(90_000);
    for (int slot = 0; slot < 10; slot++) {
      assertThat(simulation.arrivalsAt(slot, 60_000, 90_000)).isGreaterThan(10);
    }
  }

  // Guards against: calls that are repeated after the end of another engine do not count.
  @ParameterizedTest
  @CsvSource({"4, 1, 1.4", "6, 2, 1", "13, 3, 3"})
  void countsRetriesAgainstLimit(int entries, long seed, double limit) {
    EngineSimulation simulation = simulation(entries, seed, 10);
    for (long at = 8_000; at < END_MILLIS; at += 1_500) {
      simulation.killEngines(at, 0.3, entries / 2);
    }
    for (int slot = 0; slot < entries / 2; slot++) {
      simulation.nameLimit(NAMED_MILLIS, slot, Double.toString(limit));
    }
    simulation.run(END_MILLIS);
    for (int slot = 0; slot < entries / 2; slot++) {
      int limited = slot;
      assertThat(simulation.arrivals).anyMatch(a -> a.slot() == limited && a.attempt() > 1);
      assertThat(
              simulation.mostArrivalsIn4Seconds(slot, NAMED_MILLIS + STABILITY_MILLIS, END_MILLIS))
          .isLessThanOrEqualTo(allowed(limit));
    }
  }

  // Guards against: an entry that stood still sends what it held to an engine that named a limit.
  @ParameterizedTest
  @CsvSource({"4, 1, 1.4", "6, 2, 1", "6, 3, 0.2", "13, 4, 3"})
  void staysWithinLimitThatWasNamedWhileAnEntryWasFrozen(int entries, long seed, double limit) {
    EngineSimulation simulation = simulation(entries, seed, 10);
    simulation.nameLimit(NAMED_MILLIS, 0, Double.toString(limit));
    simulation.freeze(1, NAMED_MILLIS - 100, 9_000);
    simulation.freeze(2, 20_000, 23_000);
    simulation.run(END_MILLIS);
    assertThat(simulation.arrivals).anyMatch(a -> a.entry() == 1 && a.sentAt() >= 1_009_000);
    assertThat(simulation.mostArrivalsIn4Seconds(0, NAMED_MILLIS + STABILITY_MILLIS, END_MILLIS))
        .isLessThanOrEqualTo(allowed(limit));
  }

  // Guards against: an entry that joins takes a share beside the shares of those before it.
  @ParameterizedTest
  @CsvSource({"4, 1, 1.4", "6, 2, 1", "6, 3, 5", "13, 4, 3"})
  void staysWithinLimitWhenEntriesJoin(int entries, long seed, double limit) {
    EngineSimulation simulation = simulation(entries, seed, 10);
    simulation.nameLimit(NAMED_MILLIS, 0, Double.toString(limit));
    for (int i = 0; i < 3; i++) {
      int joined = entries + i;
      simulation.at(12_000 + 5_000L * i, simulation::addEntry);
      simulation.sendCalls(
          12_000 + 5_000L * i + 1, END_MILLIS, 15, () -> List.of(HARMLESS_PART), () -> joined);
    }
    simulation.run(END_MILLIS);
    assertThat(simulation.arrivals).anyMatch(a -> a.entry() == entries + 2);
    assertThat(simulation.mostArrivalsIn4Seconds(0, NAMED_MILLIS + STABILITY_MILLIS, END_MILLIS))
        .isLessThanOrEqualTo(allowed(limit));
  }

  // Guards against: calls of another route, as other services send them, count apart.
  @Test
  void countsCallsOfAllRoutesAgainstLimit() {
    Fixture fixture = new Fixture().withEndpoints(Fixture.plain("p1"));
    fixture.decider.updateEntries(List.of(Fixture.OPTIONS.self()));
    int sent = 0;
    for (int i = 0; i < 120; i++) {
      fixture.now += 100;
      fixture.decider.recordConfirmation(fixture.now);
      String path = List.of("/o/", "/c/", "/c/deep/").get(i % 3);
      Optional<CallEffect.Dispatch> dispatch =
          Fixture.find(fixture.call(path), CallEffect.Dispatch.class);
      if (dispatch.isEmpty()) {
        continue;
      }
      sent += i >= 40 && i < 80 ? 1 : 0;
      ResponseHead head =
          new ResponseHead(200, false, false, true, false, 0, -1, 0, NamedLimit.parse("2"));
      long number = dispatch.get().call();
      fixture.decider.onResponseHead(fixture.now, number, 1, head);
      fixture.decider.onResponseEnd(fixture.now, number, 1);
    }
    assertThat(sent).as("calls in 4 s").isBetween(4, 8);
  }
}
