package org.cornelchute.policy.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Agents of a region form two halves, also before all of them know the others. */
class SwitchRankTest {

  private static final int AGENTS = 20;

  /** Failure: agents that had not read their list all had rank 0 and switched at the same time. */
  @Test
  void agentsThatHaveNotReadTheirListFormTwoHalves() {
    assertThat(countFirstHalf(List.of())).isBetween(AGENTS / 4, AGENTS * 3 / 4);
  }

  /** Failure: agents whose own row was not written yet all had the rank of the first agent. */
  @Test
  void agentsThatAreNotListedYetFormTwoHalves() {
    assertThat(countFirstHalf(List.of("other-1", "other-2"))).isBetween(AGENTS / 4, AGENTS * 3 / 4);
  }

  @Test
  void listedAgentsFormHalvesOfEqualSize() {
    assertThat(countFirstHalf(names())).isEqualTo(AGENTS / 2);
  }

  /** Failure: an agent that read the list before the model kept the rank for an empty model. */
  @Test
  void rankDoesNotDependOnTheOrderOfReads() {
    for (String name : names()) {
      SwitchRank listFirst = new SwitchRank(name, "r1");
      listFirst.setAgents(names());
      listFirst.setModel("m");
      SwitchRank modelFirst = new SwitchRank(name, "r1");
      modelFirst.setModel("m");
      modelFirst.setAgents(names());
      assertThat(listFirst.value()).isEqualTo(modelFirst.value());
    }
  }

  private static int countFirstHalf(List<String> listed) {
    int count = 0;
    for (String name : names()) {
      SwitchRank rank = new SwitchRank(name, "r1");
      rank.setModel("m");
      rank.setAgents(listed);
      count += rank.value() % 2 == 0 ? 1 : 0;
    }
    return count;
  }

  private static List<String> names() {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < AGENTS; i++) {
      names.add("side-" + i);
    }
    return names;
  }
}
