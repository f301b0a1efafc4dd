package org.cornelchute.policy.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelchute.core.model.Member;
import org.cornelchute.policy.rules.Rules;

/**
 * Decides for one agent what it is to hold, and when it may switch.
 *
 * <p>Members that vanish count for a grace period, and those of an unreachable region for as long
 * as it is unreachable, so that a short cut moves no weights.
 */
public final class PlacementDecider {

  /** Time that a vanished member keeps its place. */
  public static final long ABSENCE_GRACE_MILLIS = 15_000;

  private final String self;
  private final Map<String, Seen> seen = new HashMap<>();
  private Map<String, Assignment> assignments = Map.of();

  /** Creates a decider for the agent with this member id. */
  public PlacementDecider(String self) {
    this.self = self;
  }

  /** Returns the last computed assignments by member id. */
  public Map<String, Assignment> assignments() {
    return assignments;
  }

  /**
   * Recomputes the placement.
   *
   * @param members members alive or suspected at present
   * @param unreachable regions that cannot be reached
   * @return this agent's assignment, if it has one
   */
  public Optional<Assignment> recompute(
      long now, Rules rules, Collection<Member> members, Set<String> unreachable) {
    for (Member m : members) {
      seen.put(m.id(), new Seen(m, now));
    }
    seen.values()
        .removeIf(
            s -> now - s.at >= ABSENCE_GRACE_MILLIS && !unreachable.contains(s.member.region()));
    List<Member> counted = new ArrayList<>(seen.size());
    for (Seen s : seen.values()) {
      counted.add(s.member);
    }
    assignments = Placement.compute(rules, counted);
    return Optional.ofNullable(assignments.get(self));
  }

  /** Returns the members that are assigned the same version as this agent. */
  public Set<String> membersWithSameVersion() {
    Assignment own = assignments.get(self);
    Set<String> same = new HashSet<>();
    assignments.forEach(
        (id, a) -> {
          if (own != null && a.model().equals(own.model()) && a.version().equals(own.version())) {
            same.add(id);
          }
        });
    return same;
  }

  /**
   * Decides whether this agent may take its endpoint away to load a new version.
   *
   * <p>Only the first {@code unavailable} agents in rank that are not on the new version may be
   * away; an agent learns late that those before it are done, never early, so the bound holds for
   * every delay of gossip.
   *
   * @param manifest digest of the version to switch to
   * @param members members alive or suspected at present
   * @return whether it is this agent's turn
   */
  public boolean maySwitch(String manifest, Collection<Member> members) {
    Assignment own = assignments.get(self);
    if (own == null) {
      return false;
    }
    int before = 0;
    for (Member m : members) {
      Assignment a = assignments.get(m.id());
      if (a == null || !a.model().equals(own.model()) || m.id().equals(self)) {
        continue;
      }
      boolean done = m.generation().manifest().equals(manifest);
      boolean away = m.generation().manifest().isEmpty();
      if (!done && (a.rank() < own.rank() || away)) {
        before++;
      }
    }
    return before < own.maxUnavailable();
  }

  private record Seen(Member member, long at) {}
}
