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

/** Entry, agent, endpoint and table service against the promises, under random faults. */
class RequestLifecycleTest {

  private static final int STEPS = 60;
  private static final long SETTLE_MILLIS = 60_000;

  @Property(tries = 400, seed = "1701")
  void keepsDeliveryGuarantees(@ForAll @LongRange(min = 0, max = 1_000_000_000) long seed) {
    checkGuarantees(seed);
  }

  /** Fresh seeds: {@code mvn -B verify -Plong}. */
  @Tag("long")
  @Property(tries = 20_000)
  void keepsDeliveryGuaranteesForFreshSeeds(
      @ForAll @LongRange(min = 0, max = 1_000_000_000_000L) long seed) {
    checkGuarantees(seed);
  }

  private static void checkGuarantees(long seed) {
    ServingSimulation s = new ServingSimulation(2, 3, seed);
    s.runUntil(200);
    Random random = new Random(seed);
    List<String> lone = new ArrayList<>();
    for (int step = 0; step < STEPS; step++) {
      s.runUntil(s.now + random.nextInt(200));
      performRandomAction(s, random, step, lone);
    }
    s.injectFaults = false;
    s.storeUnavailable = false;
    s.runUntil(s.now + SETTLE_MILLIS);
    for (ServingSimulation.Caller c : s.callers.values()) {
      String what = "seed " + seed + " request " + c.id + " " + c.outcome;
      int runs = s.runsByWork.getOrDefault(c.work, 0);
      assertThat(c.outcomeCount).as(what).isEqualTo(c.abandoned ? c.outcomeCount : 1);
      assertThat(c.outcomeCount).as(what).isLessThanOrEqualTo(1);
      if (!c.repeatable) {
        assertThat(runs).as("runs of " + what).isLessThanOrEqualTo(1);
      }
      if (c.outcome.equals("whole")) {
        assertThat(c.answer.toString())
            .as(what)
            .isEqualTo(ServingSimulation.expectedAnswer(c.work));
        assertThat(runs).as(what).isPositive();
      }
      boolean alone = c.work.equals(c.id) || lone.contains(c.work);
      if (c.outcome.equals("not run") && alone) {
        assertThat(runs).as("runs of " + what).isZero();
      }
    }
  }

  private static void performRandomAction(
      ServingSimulation s, Random random, int step, List<String> lone) {
    String entry = pick(s.entries.keySet(), random);
    String agent = pick(s.agents.keySet(), random);
    switch (random.nextInt(12)) {
      case 0 -> s.breakConnection(entry, agent);
      case 1 -> {
        if (s.agents.size() > 1) {
          s.crashAgent(agent, true);
        }
      }
      case 2 -> {
        for (int i = 0; i < 3; i++) {
          if (!s.agents.containsKey("agent" + i)) {
            s.startAgent("agent" + i);
            break;
          }
        }
      }
      case 3 -> {
        if (random.nextInt(3) == 0) {
          s.crashEntry(entry);
          s.startEntry(entry + "x");
        }
      }
      case 4 -> s.storeUnavailable = !s.storeUnavailable;
      case 5 -> {
        // One key through two entries at once.
        s.send(entry, "r" + step + "a", false, "key" + step);
        s.send(pick(s.entries.keySet(), random), "r" + step + "b", false, "key" + step);
      }
      case 6 -> {
        lone.add("lone" + step);
        s.send(entry, "r" + step, false, "lone" + step);
      }
      default -> s.send(entry, "r" + step, random.nextBoolean(), "");
    }
  }

  private static String pick(Iterable<String> all, Random random) {
    List<String> list = new ArrayList<>();
    all.forEach(list::add);
    return list.get(random.nextInt(list.size()));
  }

  @Test
  void answersEveryRequestWithoutFaults() {
    ServingSimulation s = new ServingSimulation(2, 3, 1);
    s.injectFaults = false;
    s.runUntil(100);
    for (int i = 0; i < 50; i++) {
      s.send("entry" + i % 2, "r" + i, i % 3 == 0, i % 5 == 0 ? "k" + i : "");
      s.runUntil(s.now + 50);
    }
    s.runUntil(s.now + SETTLE_MILLIS);
    assertThat(s.callers.values()).allMatch(c -> c.outcome.equals("whole"));
  }

  @Test
  void replaysTheAnswerAfterConnectionLoss() {
    ServingSimulation s = new ServingSimulation(1, 1, 5);
    s.injectFaults = false;
    s.runUntil(100);
    final ServingSimulation.Caller c = s.send("entry0", "order", false, "");
    while (!s.runsByWork.containsKey("order")) {
      s.runUntil(s.now + 1);
    }
    s.breakConnection("entry0", "agent0");
    s.runUntil(s.now + SETTLE_MILLIS);
    assertThat(c.outcome).isEqualTo("whole");
    assertThat(s.runsByWork).containsEntry("order", 1);
  }

  @Test
  void reportsUnknownOutcomeWhenTheAgentCrashesDuringTheRequest() {
    ServingSimulation s = new ServingSimulation(1, 1, 6);
    s.injectFaults = false;
    s.runUntil(100);
    final ServingSimulation.Caller c = s.send("entry0", "order", false, "");
    while (!s.runsByWork.containsKey("order")) {
      s.runUntil(s.now + 1);
    }
    s.crashAgent("agent0", true);
    s.startAgent("agent0");
    s.runUntil(s.now + SETTLE_MILLIS);
    assertThat(c.outcome).isEqualTo("unknown");
    assertThat(s.runsByWork).containsEntry("order", 1);
  }

  @Test
  void reportsKeyedRequestAsNotRunWhileTheStoreIsUnavailable() {
    ServingSimulation s = new ServingSimulation(1, 1, 7);
    s.injectFaults = false;
    s.storeUnavailable = true;
    s.runUntil(100);
    ServingSimulation.Caller c = s.send("entry0", "order", false, "key");
    s.runUntil(s.now + SETTLE_MILLIS);
    assertThat(c.outcome).isEqualTo("not run");
    assertThat(s.runsByWork).isEmpty();
  }
}
