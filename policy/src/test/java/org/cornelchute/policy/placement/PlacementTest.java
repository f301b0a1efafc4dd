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

  private static final String NEW = "new-manifest";

  private static Member agent(String id, String domain, String manifest) {
    Generation g = manifest.isEmpty() ? Generation.NONE : new Generation("m", manifest, 1);
    return new Member(id, Role.AGENT, id, "r", domain, "", 1, 1, false, g, manifest);
  }

  private static Rules rules(String text) {
    return RulesParser.parse(1, text).get();
  }

  @Test
  void placesTheWantedReplicasInEachDomainAndMovesFewWhenOneLeaves() {
    Rules r = rules("place m v1 on d0=3 d1=2 # asked: t\n");
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      members.add(agent("a" + i, "d" + i % 2, ""));
    }
    Map<String, Assignment> before = Placement.compute(r, members);
    assertThat(before).hasSize(5);
    String gone = before.keySet().iterator().next();
    members.removeIf(m -> m.id().equals(gone));
    Map<String, Assignment> after = Placement.compute(r, members);
    assertThat(after).hasSize(5);
    before.keySet().stream()
        .filter(id -> !id.equals(gone))
        .forEach(id -> assertThat(after).containsKey(id));
  }

  @Test
  void keepsThePlaceOfMemberThatVanishedBriefly() {
    Rules r = rules("place m v1 on d0=1 # asked: t\n");
    List<Member> two = List.of(agent("a0", "d0", ""), agent("a1", "d0", ""));
    PlacementDecider d = new PlacementDecider("a0");
    d.recompute(0, r, two, Set.of());
    String holder = d.assignments().keySet().iterator().next();
    List<Member> other = two.stream().filter(m -> !m.id().equals(holder)).toList();
    d.recompute(PlacementDecider.ABSENCE_GRACE_MILLIS - 1, r, other, Set.of());
    assertThat(d.assignments()).containsOnlyKeys(holder);
    d.recompute(2 * PlacementDecider.ABSENCE_GRACE_MILLIS, r, other, Set.of());
    assertThat(d.assignments()).doesNotContainKey(holder);
  }

  @Test
  void freezesThePlacesOfRegionThatCannotBeReached() {
    Rules r = rules("place m v1 on d0=1 # asked: t\n");
    List<Member> two = List.of(agent("a0", "d0", ""), agent("a1", "d0", ""));
    PlacementDecider d = new PlacementDecider("a0");
    d.recompute(0, r, two, Set.of());
    String holder = d.assignments().keySet().iterator().next();
    List<Member> other = two.stream().filter(m -> !m.id().equals(holder)).toList();
    d.recompute(600_000, r, other, Set.of("r"));
    assertThat(d.assignments()).containsOnlyKeys(holder);
  }

  /** Every agent decides on a view of its own that lags behind by a random time. */
  @Property(tries = 60, seed = "31")
  void rolloutNeverTakesMoreThanUnavailableAway(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed,
      @ForAll @IntRange(min = 2, max = 8) int agents,
      @ForAll @IntRange(min = 1, max = 3) int unavailable) {
    Rules r = rules("place m v2 on d=" + agents + " unavailable=" + unavailable + " # asked: t\n");
    Random random = new Random(seed);
    Map<String, Member> truth = new TreeMap<>();
    List<Map<String, Member>> history = new ArrayList<>();
    for (int i = 0; i < agents; i++) {
      truth.put("a" + i, agent("a" + i, "d", "old"));
    }
    Map<String, PlacementDecider> deciders = new TreeMap<>();
    truth.keySet().forEach(id -> deciders.put(id, new PlacementDecider(id)));
    for (int step = 0; step < 400; step++) {
      history.add(new TreeMap<>(truth));
      String id = "a" + random.nextInt(agents);
      String held = truth.get(id).generation().manifest();
      Map<String, Member> view =
          new TreeMap<>(history.get(Math.max(0, history.size() - 1 - random.nextInt(20))));
      view.put(id, truth.get(id));
      deciders.get(id).recompute(step, r, view.values(), Set.of());
      if (held.equals("old") && deciders.get(id).maySwitch(NEW, view.values())) {
        truth.put(id, agent(id, "d", ""));
      } else if (held.isEmpty()) {
        truth.put(id, agent(id, "d", NEW));
      }
      long away = truth.values().stream().filter(m -> m.generation().manifest().isEmpty()).count();
      assertThat(away).isLessThanOrEqualTo(unavailable);
    }
    history.clear();
    assertThat(truth.values()).allMatch(m -> m.generation().manifest().equals(NEW));
  }
}
