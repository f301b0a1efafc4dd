package org.cornelchute.policy.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.cornelchute.policy.rules.Rules;
import org.cornelchute.policy.rules.RulesParser;
import org.junit.jupiter.api.Test;

class PlacementTest {

  private static final String NEW_MANIFEST = "new-manifest";

  private static Member agent(String id, String domain, String manifest) {
    Generation generation = manifest.isEmpty() ? Generation.NONE : new Generation("m", manifest, 1);
    return new Member(id, Role.AGENT, id, "r", domain, "", 1, 1, false, generation, manifest);
  }

  private static Rules rules(String text) {
    return RulesParser.parse(1, text).get();
  }

  @Test
  void placesReplicasPerDomainAndKeepsTheOthersWhenAnAgentDisappears() {
    Rules rules = rules("place m v1 on d0=3 d1=2 # asked: t\n");
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      members.add(agent("a" + i, "d" + i % 2, ""));
    }
    Map<String, Assignment> before = Placement.compute(rules, members);
    assertThat(before).hasSize(5);
    String removed = before.keySet().iterator().next();
    members.removeIf(m -> m.id().equals(removed));
    Map<String, Assignment> after = Placement.compute(rules, members);
    assertThat(after).hasSize(5);
    before.keySet().stream()
        .filter(id -> !id.equals(removed))
        .forEach(id -> assertThat(after).containsKey(id));
  }

  @Test
  void keepsAssignmentOfAbsentMemberForGracePeriod() {
    Rules rules = rules("place m v1 on d0=1 # asked: t\n");
    List<Member> members = List.of(agent("a0", "d0", ""), agent("a1", "d0", ""));
    PlacementDecider decider = new PlacementDecider("a0");
    decider.recompute(0, rules, members, Set.of());
    String assigned = decider.assignments().keySet().iterator().next();
    List<Member> others = members.stream().filter(m -> !m.id().equals(assigned)).toList();
    decider.recompute(PlacementDecider.ABSENCE_GRACE_MILLIS - 1, rules, others, Set.of());
    assertThat(decider.assignments()).containsOnlyKeys(assigned);
    decider.recompute(2 * PlacementDecider.ABSENCE_GRACE_MILLIS, rules, others, Set.of());
    assertThat(decider.assignments()).doesNotContainKey(assigned);
  }

  @Test
  void keepsAssignmentsOfUnreachableRegion() {
    Rules rules = rules("place m v1 on d0=1 # asked: t\n");
    List<Member> members = List.of(agent("a0", "d0", ""), agent("a1", "d0", ""));
    PlacementDecider decider = new PlacementDecider("a0");
    decider.recompute(0, rules, members, Set.of());
    String assigned = decider.assignments().keySet().iterator().next();
    List<Member> others = members.stream().filter(m -> !m.id().equals(assigned)).toList();
    decider.recompute(600_000, rules, others, Set.of("r"));
    assertThat(decider.assignments()).containsOnlyKeys(assigned);
  }

  /** Each agent decides on a member view that is outdated by a random number of steps. */
  @Property(tries = 60, seed = "31")
  void rolloutNeverExceedsMaxUnavailable(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed,
      @ForAll @IntRange(min = 2, max = 8) int agents,
      @ForAll @IntRange(min = 1, max = 3) int unavailable) {
    Rules rules =
        rules("place m v2 on d=" + agents + " unavailable=" + unavailable + " # asked: t\n");
    Random random = new Random(seed);
    Map<String, Member> current = new TreeMap<>();
    List<Map<String, Member>> history = new ArrayList<>();
    for (int i = 0; i < agents; i++) {
      current.put("a" + i, agent("a" + i, "d", "old"));
    }
    Map<String, PlacementDecider> deciders = new TreeMap<>();
    current.keySet().forEach(id -> deciders.put(id, new PlacementDecider(id)));
    for (int step = 0; step < 400; step++) {
      history.add(new TreeMap<>(current));
      String id = "a" + random.nextInt(agents);
      String served = current.get(id).generation().manifest();
      Map<String, Member> outdatedView =
          new TreeMap<>(history.get(Math.max(0, history.size() - 1 - random.nextInt(20))));
      outdatedView.put(id, current.get(id));
      deciders.get(id).recompute(step, rules, outdatedView.values(), Set.of());
      if (served.equals("old") && deciders.get(id).maySwitch(NEW_MANIFEST, outdatedView.values())) {
        current.put(id, agent(id, "d", ""));
      } else if (served.isEmpty()) {
        current.put(id, agent(id, "d", NEW_MANIFEST));
      }
      long closed =
          current.values().stream().filter(m -> m.generation().manifest().isEmpty()).count();
      assertThat(closed).isLessThanOrEqualTo(unavailable);
    }
    history.clear();
    assertThat(current.values()).allMatch(m -> m.generation().manifest().equals(NEW_MANIFEST));
  }
}
