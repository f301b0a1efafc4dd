package org.cornelchute.policy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/**
 * Checks the delivery guarantees of entries and agents under random faults.
 *
 * <p>Each request gets exactly one outcome, or none if its entry crashes before. A request that is
 * not safe to repeat runs at most once. A complete answer has all its parts. A request that is
 * reported as not run has not run, unless another request with the same idempotency key ran the
 * work.
 */
class RequestLifecycleTest {

  private static final int STEPS = 60;
  private static final long SETTLE_MILLIS = 60_000;

  @Property(tries = 400, seed = "1701")
  void keepsDeliveryGuarantees(@ForAll @LongRange(min = 0, max = 1_000_000_000) long seed) {
    checkGuarantees(seed);
  }

  /** Uses new seeds in every run; enabled by {@code mvn -B verify -Plong}. */
  @Tag("long")
  @Property(tries = 20_000)
  void keepsDeliveryGuaranteesForFreshSeeds(
      @ForAll @LongRange(min = 0, max = 1_000_000_000_000L) long seed) {
    checkGuarantees(seed);
  }

  private static void checkGuarantees(long seed) {
    ServingSimulation simulation = new ServingSimulation(2, 3, seed);
    simulation.runUntil(200);
    Random random = new Random(seed);
    List<String> uniqueWork = new ArrayList<>();
    for (int step = 0; step < STEPS; step++) {
      simulation.runUntil(simulation.now + random.nextInt(200));
      performRandomAction(simulation, random, step, uniqueWork);
    }
    simulation.injectFaults = false;
    simulation.storeUnavailable = false;
    simulation.runUntil(simulation.now + SETTLE_MILLIS);
    for (ServingSimulation.Caller caller : simulation.callers.values()) {
      String description = "seed " + seed + " request " + caller.id + " " + caller.outcome;
      int runs = simulation.runsByWork.getOrDefault(caller.work, 0);
      assertThat(caller.outcomeCount)
          .as(description)
          .isEqualTo(caller.abandoned ? caller.outcomeCountAtCrash : 1);
      assertThat(caller.outcomeCount).as(description).isLessThanOrEqualTo(1);
      if (!caller.repeatable) {
        assertThat(runs).as("runs of " + description).isLessThanOrEqualTo(1);
      }
      if (caller.outcome.equals("complete")) {
        assertThat(caller.answer.toString())
            .as(description)
            .isEqualTo(ServingSimulation.expectedAnswer(caller.work));
        assertThat(runs).as(description).isPositive();
      }
      boolean onlyCaller = caller.work.equals(caller.id) || uniqueWork.contains(caller.work);
      if (caller.outcome.equals("not run") && onlyCaller) {
        assertThat(runs).as("runs of " + description).isZero();
      }
    }
  }

  private static void performRandomAction(
      ServingSimulation simulation, Random random, int step, List<String> uniqueWork) {
    String entry = pick(simulation.entries.keySet(), random);
    String agent = pick(simulation.agents.keySet(), random);
    switch (random.nextInt(12)) {
      case 0 -> simulation.breakConnection(entry, agent);
      case 1 -> {
        if (simulation.agents.size() > 1) {
          simulation.crashAgent(agent, true);
        }
      }
      case 2 -> {
        for (int i = 0; i < 3; i++) {
          if (!simulation.agents.containsKey("agent" + i)) {
            simulation.startAgent("agent" + i);
            break;
          }
        }
      }
      case 3 -> {
        if (random.nextInt(3) == 0) {
          simulation.crashEntry(entry);
          simulation.startEntry(entry + "x");
        }
      }
      case 4 -> simulation.storeUnavailable = !simulation.storeUnavailable;
      case 5 -> {
        // Two requests with the same idempotency key arrive at the same time, often at two entries.
        simulation.send(entry, "r" + step + "a", false, "key" + step);
        simulation.send(
            pick(simulation.entries.keySet(), random), "r" + step + "b", false, "key" + step);
      }
      case 6 -> {
        uniqueWork.add("lone" + step);
        simulation.send(entry, "r" + step, false, "lone" + step);
      }
      default -> simulation.send(entry, "r" + step, random.nextBoolean(), "");
    }
  }

  private static String pick(Iterable<String> values, Random random) {
    List<String> list = new ArrayList<>();
    values.forEach(list::add);
    return list.get(random.nextInt(list.size()));
  }

  @Test
  void answersEveryRequestWithoutFaults() {
    ServingSimulation simulation = new ServingSimulation(2, 3, 1);
    simulation.injectFaults = false;
    simulation.runUntil(100);
    for (int i = 0; i < 50; i++) {
      simulation.send("entry" + i % 2, "r" + i, i % 3 == 0, i % 5 == 0 ? "k" + i : "");
      simulation.runUntil(simulation.now + 50);
    }
    simulation.runUntil(simulation.now + SETTLE_MILLIS);
    assertThat(simulation.callers.values()).allMatch(caller -> caller.outcome.equals("complete"));
  }

  @Test
  void replaysTheAnswerAfterConnectionLoss() {
    ServingSimulation simulation = new ServingSimulation(1, 1, 5);
    simulation.injectFaults = false;
    simulation.runUntil(100);
    final ServingSimulation.Caller caller = simulation.send("entry0", "order", false, "");
    while (!simulation.runsByWork.containsKey("order")) {
      simulation.runUntil(simulation.now + 1);
    }
    simulation.breakConnection("entry0", "agent0");
    simulation.runUntil(simulation.now + SETTLE_MILLIS);
    assertThat(caller.outcome).isEqualTo("complete");
    assertThat(simulation.runsByWork).containsEntry("order", 1);
  }

  @Test
  void reportsUnknownOutcomeWhenTheAgentCrashesDuringTheRequest() {
    ServingSimulation simulation = new ServingSimulation(1, 1, 6);
    simulation.injectFaults = false;
    simulation.runUntil(100);
    final ServingSimulation.Caller caller = simulation.send("entry0", "order", false, "");
    while (!simulation.runsByWork.containsKey("order")) {
      simulation.runUntil(simulation.now + 1);
    }
    simulation.crashAgent("agent0", true);
    simulation.startAgent("agent0");
    simulation.runUntil(simulation.now + SETTLE_MILLIS);
    assertThat(caller.outcome).isEqualTo("unknown");
    assertThat(simulation.runsByWork).containsEntry("order", 1);
  }

  @Test
  void reportsKeyedRequestAsNotRunWhileTheStoreIsUnavailable() {
    ServingSimulation simulation = new ServingSimulation(1, 1, 7);
    simulation.injectFaults = false;
    simulation.storeUnavailable = true;
    simulation.runUntil(100);
    ServingSimulation.Caller caller = simulation.send("entry0", "order", false, "key");
    simulation.runUntil(simulation.now + SETTLE_MILLIS);
    assertThat(caller.outcome).isEqualTo("not run");
    assertThat(simulation.runsByWork).isEmpty();
  }
}
