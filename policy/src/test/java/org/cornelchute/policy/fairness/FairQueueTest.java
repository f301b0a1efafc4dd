package org.cornelchute.policy.fairness;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class FairQueueTest {

  private record Work(String workspace, int cost) {}

  @Test
  void sharesServiceByWeightInTokens() {
    FairQueue<Work> queue = new FairQueue<>(10_000);
    Random random = new Random(5);
    for (int i = 0; i < 3_000; i++) {
      int cost = 10 + random.nextInt(90);
      queue.offer("small", 10, 0, cost, new Work("small", cost));
      queue.offer("large", 30, 0, 4 * cost, new Work("large", 4 * cost));
    }
    Map<String, Integer> served = new HashMap<>();
    for (int i = 0; i < 1_500; i++) {
      Work work = queue.poll(item -> true).orElseThrow();
      served.merge(work.workspace(), work.cost(), Integer::sum);
    }
    double ratio = (double) served.get("large") / served.get("small");
    assertThat(ratio).isBetween(2.85, 3.15);
  }

  @Test
  void displacesOnlyItemsOfTheFloodingWorkspaceWhenFull() {
    FairQueue<String> queue = new FairQueue<>(10);
    for (int i = 0; i < 10; i++) {
      queue.offer("flood", 10, 0, 1, "flood");
    }
    assertThat(queue.offer("quiet", 10, 0, 1, "quiet")).contains("flood");
    assertThat(queue.size("quiet")).isEqualTo(1);
  }

  @Test
  void servesNewWorkspaceNextDespiteCreditsOfAnother() {
    FairQueue<String> queue = new FairQueue<>(1_000);
    for (int i = 0; i < 200; i++) {
      queue.offer("flood", 10, 0, 100, "flood");
    }
    for (int i = 0; i < 100; i++) {
      queue.poll(item -> true);
    }
    // The actual cost is a fifth of the estimate, so each charge is corrected by a credit.
    for (int i = 0; i < 100; i++) {
      queue.adjustCharge("flood", -80);
    }
    queue.offer("quiet", 10, 0, 100, "quiet");
    List<String> next = List.of(queue.poll(item -> true).get(), queue.poll(item -> true).get());
    assertThat(next).contains("quiet");
  }

  @Test
  void ordersByPriorityOnlyWithinWorkspace() {
    FairQueue<String> queue = new FairQueue<>(10);
    queue.offer("a", 10, 0, 10, "a-low");
    queue.offer("a", 10, 5, 10, "a-high");
    queue.offer("b", 10, 9, 10, "b-high");
    assertThat(queue.poll(item -> true)).contains("a-high");
    assertThat(queue.poll(item -> true)).contains("b-high");
  }

  @Test
  void reportsItemsThatWerePassedOver() {
    FairQueue<String> queue = new FairQueue<>(10);
    List<String> passedOver = new ArrayList<>();
    queue.offer("a", 10, 0, 1, "blocked");
    queue.offer("b", 10, 0, 1, "free");
    assertThat(queue.poll(item -> item.equals("free"), passedOver::add)).contains("free");
    assertThat(passedOver).containsExactly("blocked");
  }

  @Property(tries = 50, seed = "9")
  void neverLosesOrDuplicatesItems(@ForAll @IntRange(min = 1, max = 50) int capacity) {
    FairQueue<Integer> queue = new FairQueue<>(capacity);
    Random random = new Random(capacity);
    int added = 0;
    int removed = 0;
    for (int i = 0; i < 500; i++) {
      if (random.nextInt(3) > 0) {
        added++;
        removed += queue.offer("w" + random.nextInt(5), 1 + i % 3, i % 2, 5, i).isPresent() ? 1 : 0;
      } else {
        removed += queue.poll(item -> true).isPresent() ? 1 : 0;
      }
      assertThat(queue.size()).isEqualTo(added - removed).isLessThanOrEqualTo(capacity);
    }
  }
}
