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
 * Decides which agent holds which model, as a pure function of rules and members.
 *
 * <p>Models are served in the order of the rules; in each failure domain a model takes the agents
 * with the highest rendezvous weight among those without one. Processes whose views differ for a
 * moment place a replica more or fewer, never a wrong one.
 */
public final class Placement {

  private Placement() {}

  /**
   * Computes all assignments.
   *
   * @param rules rules in force
   * @param members members that count: alive, suspected or within their grace period
   * @return assignment by member id, in the order of rank within each model; never null
   */
  public static Map<String, Assignment> compute(Rules rules, Collection<Member> members) {
    Map<String, List<String>> free = new HashMap<>();
    for (Member m : members) {
      if (m.role() == Role.AGENT && m.service().isEmpty() && !m.leaving()) {
        free.computeIfAbsent(rules.resolve(m.domain()), d -> new ArrayList<>()).add(m.id());
      }
    }
    Map<String, Assignment> assigned = new LinkedHashMap<>();
    for (Rule.Place p : rules.places()) {
      int rank = 0;
      for (Map.Entry<String, Integer> wish : p.replicas().entrySet()) {
        List<String> candidates = free.getOrDefault(wish.getKey(), List.of());
        List<String> order = RendezvousHash.order(p.model(), candidates);
        for (String id : order.subList(0, Math.min(wish.getValue(), order.size()))) {
          assigned.put(id, new Assignment(p.model(), p.version(), rank++, p.unavailable()));
          candidates.remove(id);
        }
      }
    }
    return assigned;
  }
}
