package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.cornelchute.policy.forward.EngineSimulation.CrashMode;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Engines that crash on a part of a prompt before the entry has a response from them, or go silent
 * with their VM, and engines that end or go silent for other reasons; virtual time.
 */
@Execution(ExecutionMode.CONCURRENT)
class CrashWithoutResponseTest {

  private static final int FIRST_PARTS = 5;
  private static final int MIN_COMPARED_CALLS = 20;
  private static final long HARMFUL = 0xbad;
  private static final long HARM_FROM_MILLIS = 8_000;
  private static final long END_MILLIS = 40_000;
  private static final double MIN_BEGIN_RATIO = 0.5;
  private static final double MAX_BLOCKED_SHARE = 0.003;

  /** Entries, engines, and sound calls of three parts, the last of which few calls share. */
  private static EngineSimulation simulation(int entries, int engines, long seed) {
    EngineSimulation simulation = new EngineSimulation(entries, engines, seed);
    simulation.sendsEvents = true;
    Random random = simulation.random;
    simulation.sendCalls(
        0, END_MILLIS, 7.0 * entries, () -> soundParts(random), simulation::anyEntry);
    return simulation;
  }

  private static List<Long> soundParts(Random random) {
    return List.of(
        (long) random.nextInt(FIRST_PARTS),
        100L + random.nextInt(10),
        1_000L + random.nextInt(3_000));
  }

  private static void sendHarmfulCalls(EngineSimulation simulation, double perSecond) {
    simulation.harmfulParts.add(HARMFUL);
    simulation.sendCalls(
        HARM_FROM_MILLIS,
        END_MILLIS,
        perSecond,
        () ->
            List.of(
                (long) simulation.random.nextInt(FIRST_PARTS),
                HARMFUL,
                1_000L + simulation.random.nextInt(3_000)),
        simulation::anyEntry);
  }

  private static void assertContainsHarmfulCalls(
      int entries, int engines, long seed, double perSecond, Supplier<CrashMode> crashMode) {
    EngineSimulation simulation = simulation(entries, engines, seed);
    simulation.crashMode = crashMode;
    sendHarmfulCalls(simulation, perSecond);
    simulation.run(END_MILLIS);
    CrashingPromptPartTest.assertContained(simulation, HARMFUL);
    CrashingPromptPartTest.assertSoundCallsServed(simulation, HARMFUL, -1);
  }

  // Failure: a replica that ended before the head of its answer was complete left no evidence, so
  // that calls with the part that crashed it were sent for good (review/1).
  @ParameterizedTest
  @CsvSource({"3, 8, 1", "3, 8, 2", "6, 16, 3", "13, 30, 4", "40, 110, 5", "60, 110, 6"})
  void stopsSendingCallsThatEndEnginesBeforeTheHead(int entries, int engines, long seed) {
    assertContainsHarmfulCalls(entries, engines, seed, 1.4, () -> CrashMode.BEFORE_HEAD);
  }

  // Failure: as above, with replicas that go silent, since only closed connections were counted
  // (review/3).
  @ParameterizedTest
  @CsvSource({"3, 8, 1", "3, 8, 2", "6, 16, 3", "13, 30, 4", "40, 110, 5", "60, 110, 6"})
  void stopsSendingCallsThatSilenceEngines(int entries, int engines, long seed) {
    assertContainsHarmfulCalls(entries, engines, seed, 1.4, () -> CrashMode.SILENT);
  }

  // Failure: as above, with ends that show in a different way each time.
  @ParameterizedTest
  @CsvSource({
    "3, 8, 1, 1.4",
    "3, 8, 2, 4",
    "3, 8, 3, 0.7",
    "6, 16, 4, 4",
    "13, 30, 5, 4",
    "40, 110, 6, 4"
  })
  void stopsSendingCallsThatEndEnginesInAnyWay(
      int entries, int engines, long seed, double perSecond) {
    Random random = new Random(seed);
    CrashMode[] modes = CrashMode.values();
    assertContainsHarmfulCalls(
        entries, engines, seed, perSecond, () -> modes[random.nextInt(modes.length)]);
  }

  // Failure: as above, with a part that calls were served with before.
  @ParameterizedTest
  @CsvSource({"3, 8, 1, 1.4", "6, 16, 2, 4", "13, 30, 3, 4", "40, 110, 4, 4"})
  void stopsSendingCallsWithPartThatWasServedBefore(
      int entries, int engines, long seed, double perSecond) {
    EngineSimulation simulation = simulation(entries, engines, seed);
    Random random = new Random(seed);
    CrashMode[] modes = CrashMode.values();
    simulation.crashMode = () -> modes[random.nextInt(modes.length)];
    simulation.sendCalls(
        0, END_MILLIS, perSecond, () -> List.of(7L, HARMFUL), simulation::anyEntry);
    simulation.at(HARM_FROM_MILLIS, () -> simulation.harmfulParts.add(HARMFUL));
    simulation.run(END_MILLIS);
    CrashingPromptPartTest.assertContained(simulation, HARMFUL);
    CrashingPromptPartTest.assertSoundCallsServed(simulation, HARMFUL, -1);
  }

  // Guards against: parts that all calls share are blocked because engines end, go silent with or
  // without coming back, or lose connections, for reasons that lie in no prompt.
  @ParameterizedTest
  @CsvSource({
    "3, 8, 1",
    "3, 8, 2",
    "3, 8, 3",
    "3, 8, 4",
    "6, 16, 5",
    "6, 16, 6",
    "13, 30, 7",
    "40, 110, 8",
    "60, 110, 9"
  })
  void servesSoundCallsWhileEnginesEndForOtherReasons(int entries, int engines, long seed) {
    EngineSimulation simulation = simulation(entries, engines, seed);
    scheduleDisruptions(simulation, entries, engines, new Random(seed));
    simulation.run(END_MILLIS);
    assertSoundCallsBegin(simulation, entries);
  }

  // Guards against: as above, beside calls that crash engines.
  @ParameterizedTest
  @CsvSource({"3, 8, 1", "3, 8, 2", "6, 16, 3", "13, 30, 4", "40, 110, 5"})
  void servesSoundCallsBesideHarmfulOnesAndOtherDisruptions(int entries, int engines, long seed) {
    EngineSimulation simulation = simulation(entries, engines, seed);
    Random random = new Random(seed);
    CrashMode[] modes = CrashMode.values();
    simulation.crashMode = () -> modes[random.nextInt(modes.length)];
    sendHarmfulCalls(simulation, 1.4);
    scheduleDisruptions(simulation, entries, engines, random);
    simulation.run(END_MILLIS);
    assertSoundCallsBegin(simulation, entries);
  }

  private static void scheduleDisruptions(
      EngineSimulation simulation, int entries, int engines, Random random) {
    for (long at = HARM_FROM_MILLIS; at < 28_000; at += 500 + random.nextInt(1_500)) {
      int slot = random.nextInt(engines);
      switch (random.nextInt(6)) {
        case 0 -> simulation.killEngines(at, 0.3);
        case 1 -> simulation.endEnginesSilently(at, 0.3);
        case 2 -> simulation.silenceEngine(at, at + 800 + random.nextInt(700), slot);
        case 3 -> simulation.resetConnections(at, slot, 0.7);
        case 4 ->
            simulation.cutLinks(
                at,
                at + 1_000 + random.nextInt(4_000),
                some(entries, random),
                some(engines, random));
        default -> simulation.freeze(random.nextInt(entries), at, at + random.nextInt(4_000));
      }
    }
  }

  private static Set<Integer> some(int count, Random random) {
    Set<Integer> some = new HashSet<>();
    for (int i = 0; i < count; i++) {
      if (random.nextInt(3) == 0) {
        some.add(i);
      }
    }
    return some;
  }

  private static void assertSoundCallsBegin(EngineSimulation simulation, int entries) {
    long start = EngineSimulation.START_MILLIS;
    long from = start + 31_000;
    double usual = simulation.beginShare(start, start + HARM_FROM_MILLIS, -1);
    assertThat(simulation.beginShare(from, start + END_MILLIS, -1)).isGreaterThan(0.9 * usual);
    for (int entry = 0; entry < entries; entry++) {
      int number = entry;
      List<EngineSimulation.Sent> sent =
          simulation.calls.stream()
              .filter(c -> c.entry == number && c.sentAt >= from && !c.parts.contains(HARMFUL))
              .toList();
      assertThat(sent.stream().filter(c -> c.beganAtFirstAttempt).count())
          .as("sound calls that began at entry " + number + " of " + sent.size())
          .isGreaterThanOrEqualTo((long) (MIN_BEGIN_RATIO * usual * sent.size()));
    }
    for (long part = 0; part < FIRST_PARTS; part++) {
      long first = part;
      long sent =
          simulation.calls.stream()
              .filter(c -> c.sentAt >= from && c.parts.get(0) == first)
              .filter(c -> !c.parts.contains(HARMFUL))
              .count();
      if (sent >= MIN_COMPARED_CALLS) {
        assertThat(simulation.beginShare(from, start + END_MILLIS, first))
            .isGreaterThanOrEqualTo(MIN_BEGIN_RATIO * usual);
      }
    }
    List<EngineSimulation.Sent> sound =
        simulation.calls.stream()
            .filter(c -> c.sentAt >= start + HARM_FROM_MILLIS && !c.parts.contains(HARMFUL))
            .toList();
    assertThat(sound.stream().filter(c -> c.rejection == Rejection.BLOCKED_PROMPT).count())
        .as("sound calls that were blocked")
        .isLessThanOrEqualTo((long) (MAX_BLOCKED_SHARE * sound.size()));
  }
}
