package org.cornelchute.policy.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.cornelchute.policy.rules.Rule;
import org.cornelchute.policy.rules.Rules;
import org.cornelchute.policy.util.RendezvousHash;

/**
 * Assigns model versions to agents, as a pure function of rules and members.
 *
 * <p>Models are placed in the order of the rules. In each failure domain a model gets the agents
 * with the highest rendezvous weights among the agents that have no assignment yet. Processes whose
 * member views differ temporarily may place too many or too few replicas of a model, but never a
 * version that the rules do not name.
 */
public final class Placement {

  private Placement() {}

  /**
   * Computes all assignments.
   *
   * @param rules rules in force
   * @param members members to consider: alive, suspected, or absent within the grace period
   * @return assignment by member id, in order of rank within each model; never null
   */
  public static Map<String, Assignment> compute(Rules rules, Collection<Member> members) {
    Map<String, List<String>> unassignedByDomain = new HashMap<>();
    for (Member member : members) {
      if (member.role() == Role.AGENT && member.service().isEmpty() && !member.leaving()) {
        unassignedByDomain
            .computeIfAbsent(rules.resolve(member.domain()), domain -> new ArrayList<>())
            .add(member.id());
      }
    }
    Map<String, Assignment> assigned = new LinkedHashMap<>();
    for (Rule.Place place : rules.places()) {
      int rank = 0;
      for (Map.Entry<String, Integer> replicas : place.replicas().entrySet()) {
        List<String> candidates = unassignedByDomain.getOrDefault(replicas.getKey(), List.of());
        List<String> ranked = RendezvousHash.order(place.model(), candidates);
        for (String id : ranked.subList(0, Math.min(replicas.getValue(), ranked.size()))) {
          assigned.put(
              id, new Assignment(place.model(), place.version(), rank++, place.unavailable()));
          candidates.remove(id);
        }
      }
    }
    return assigned;
  }
}
