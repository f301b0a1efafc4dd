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
 * Decides which version one agent holds, and when the agent may switch to another version.
 *
 * <p>A member that disappears keeps its assignment for a grace period, and a member of an
 * unreachable region keeps it for as long as the region is unreachable. A short network partition
 * therefore does not cause weights to be copied to other agents.
 */
public final class PlacementDecider {

  /** Time for which a member that has disappeared keeps its assignment. */
  public static final long ABSENCE_GRACE_MILLIS = 15_000;

  private final String self;
  private final Map<String, LastSeen> lastSeen = new HashMap<>();
  private Map<String, Assignment> assignments = Map.of();

  /** Creates a decider for the agent with this member id. */
  public PlacementDecider(String self) {
    this.self = self;
  }

  /** Returns the most recently computed assignments by member id. */
  public Map<String, Assignment> assignments() {
    return assignments;
  }

  /**
   * Computes the assignments of all agents and stores them.
   *
   * @param members members that are alive or suspected
   * @param unreachable regions that cannot be reached
   * @return the assignment of this agent, or empty if it has none
   */
  public Optional<Assignment> recompute(
      long now, Rules rules, Collection<Member> members, Set<String> unreachable) {
    for (Member member : members) {
      lastSeen.put(member.id(), new LastSeen(member, now));
    }
    lastSeen
        .values()
        .removeIf(
            s ->
                now - s.atMillis >= ABSENCE_GRACE_MILLIS
                    && !unreachable.contains(s.member.region()));
    List<Member> considered = new ArrayList<>(lastSeen.size());
    for (LastSeen entry : lastSeen.values()) {
      considered.add(entry.member);
    }
    assignments = Placement.compute(rules, considered);
    return Optional.ofNullable(assignments.get(self));
  }

  /** Returns the ids of the members that are assigned the same version as this agent. */
  public Set<String> membersWithSameVersion() {
    Assignment own = assignments.get(self);
    Set<String> same = new HashSet<>();
    assignments.forEach(
        (id, other) -> {
          if (own != null
              && other.model().equals(own.model())
              && other.version().equals(own.version())) {
            same.add(id);
          }
        });
    return same;
  }

  /**
   * Returns whether this agent may close its endpoint in order to load a new version.
   *
   * <p>Of the agents that do not serve the new version yet, only the first {@code maxUnavailable}
   * in order of rank may close their endpoints; an agent whose endpoint is already closed counts
   * whatever its rank is. Gossip may report the completion of an agent late but never early, so
   * that the limit holds for any gossip delay.
   *
   * @param manifest digest of the manifest of the new version
   * @param members members that are alive or suspected
   */
  public boolean maySwitch(String manifest, Collection<Member> members) {
    Assignment own = assignments.get(self);
    if (own == null) {
      return false;
    }
    int ahead = 0;
    for (Member member : members) {
      Assignment other = assignments.get(member.id());
      if (other == null || !other.model().equals(own.model()) || member.id().equals(self)) {
        continue;
      }
      boolean updated = member.generation().manifest().equals(manifest);
      boolean closed = member.generation().manifest().isEmpty();
      if (!updated && (other.rank() < own.rank() || closed)) {
        ahead++;
      }
    }
    return ahead < own.maxUnavailable();
  }

  private record LastSeen(Member member, long atMillis) {}
}
