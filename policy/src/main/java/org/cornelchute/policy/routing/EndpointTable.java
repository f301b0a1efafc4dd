package org.cornelchute.policy.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.cornelchute.policy.rules.Rules;
import org.cornelchute.policy.util.RendezvousHash;

/**
 * Chooses an endpoint for a request.
 *
 * <p>Endpoints of the entry's own region go first. Among those with room the better of two random
 * ones is taken (Mitzenmacher, "The power of two choices", 2001), since with many entries a common
 * best choice is overrun before its next report; the endpoint that last served the same prefix
 * competes with a bonus that fades with age, as caches forget.
 */
final class EndpointTable {

  private static final int MAX_PREFIXES = 20_000;
  private static final long PREFIX_AFFINITY_MILLIS = 60_000;
  private static final double MAX_PREFIX_BONUS = 0.5;

  private final String self;
  private final String region;
  private final RoutingOptions options;
  private final Random random;
  private final Map<String, Endpoint> endpoints = new TreeMap<>();
  private final Map<Long, LastUse> lastUseByPrefix =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, LastUse> eldest) {
          return size() > MAX_PREFIXES;
        }
      };
  private final Map<Target, Integer> roundRobinCounters = new HashMap<>();
  private final Map<Target, List<Endpoint>> subsets = new HashMap<>();
  private boolean subsetsStale;

  EndpointTable(String self, String region, RoutingOptions options, long seed) {
    this.self = self;
    this.region = region;
    this.options = options;
    this.random = new Random(seed);
  }

  Optional<Endpoint> find(String id) {
    return Optional.ofNullable(endpoints.get(id));
  }

  /** Returns the endpoints that this entry uses, for all targets together. */
  Collection<Endpoint> usedEndpoints() {
    refreshSubsets();
    List<Endpoint> used = new ArrayList<>();
    subsets.values().forEach(used::addAll);
    return used;
  }

  /** Takes a change of a member; returns its endpoint if the member is an agent. */
  Optional<Endpoint> updateMember(Member m, Health health, Rules rules) {
    if (m.role() != Role.AGENT) {
      return Optional.empty();
    }
    subsetsStale = true;
    Endpoint e =
        endpoints.computeIfAbsent(
            m.id(), id -> new Endpoint(m, health, RendezvousHash.weight(self, id)));
    if (e.member.boot() != m.boot()) {
      e.load = null;
      e.outstandingRequests = 0;
      e.dispatchedSinceReport = 0;
    }
    e.member = m;
    e.health = health;
    e.domainOut = rules.isDomainOut(rules.resolve(m.domain()));
    if (health == Health.DEAD) {
      endpoints.remove(m.id());
    }
    return Optional.of(e);
  }

  void updateRules(Rules rules) {
    subsetsStale = true;
    for (Endpoint e : endpoints.values()) {
      e.domainOut = rules.isDomainOut(rules.resolve(e.member.domain()));
    }
  }

  /** Returns whether any endpoint serves the target, with room or without. */
  boolean isServed(Target target) {
    for (Endpoint e : subset(target)) {
      if (e.isServing(target)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether any endpoint has room for a request to the target. */
  boolean hasCapacity(Target target, long now) {
    for (Endpoint e : subset(target)) {
      if (e.hasCapacity(now) && e.isServing(target)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Lists the endpoints that may take a request now, those of the own region first if any has room.
   *
   * @param weights generation whose weights the answer must continue, or {@link Generation#NONE}
   * @param avoid members that failed this request before; used only if no other is left
   */
  List<Endpoint> candidates(Target target, Generation weights, Set<String> avoid, long now) {
    List<Endpoint> near = new ArrayList<>();
    List<Endpoint> far = new ArrayList<>();
    List<Endpoint> failed = new ArrayList<>();
    for (Endpoint e : subset(target)) {
      if (!e.hasCapacity(now) || !e.isServing(target)) {
        continue;
      }
      if (!weights.equals(Generation.NONE) && !weights.hasSameWeights(e.load.generation())) {
        continue;
      }
      if (avoid.contains(e.member.id())) {
        failed.add(e);
      } else if (e.member.region().equals(region)) {
        near.add(e);
      } else {
        far.add(e);
      }
    }
    return !near.isEmpty() ? near : !far.isEmpty() ? far : failed;
  }

  /** Chooses among candidates, which must not be empty. */
  Endpoint choose(Target target, List<Endpoint> candidates, long prefix, long now) {
    switch (options.strategy()) {
      case ROUND_ROBIN:
        int turn = roundRobinCounters.merge(target, 1, Integer::sum);
        return candidates.get(turn % candidates.size());
      case LEAST_OUTSTANDING:
        Endpoint least = candidates.get(0);
        for (Endpoint e : candidates) {
          if (utilization(e) < utilization(least)) {
            least = e;
          }
        }
        return least;
      default:
        return chooseByAffinity(candidates, prefix, now);
    }
  }

  /** Remembers where a prefix went. */
  void recordDispatch(Endpoint e, long prefix, long now) {
    e.outstandingRequests++;
    e.dispatchedSinceReport++;
    if (prefix != 0) {
      lastUseByPrefix.put(prefix, new LastUse(e.member.id(), now));
    }
  }

  private Endpoint chooseByAffinity(List<Endpoint> candidates, long prefix, long now) {
    Endpoint a = candidates.get(random.nextInt(candidates.size()));
    Endpoint b = candidates.get(random.nextInt(candidates.size()));
    Endpoint best = utilization(b) < utilization(a) ? b : a;
    LastUse last = prefix == 0 ? null : lastUseByPrefix.get(prefix);
    if (last == null) {
      return best;
    }
    double age = Math.min(1.0, (double) (now - last.usedAt) / PREFIX_AFFINITY_MILLIS);
    for (Endpoint e : candidates) {
      if (e.member.id().equals(last.memberId)
          && utilization(e) - MAX_PREFIX_BONUS * (1 - age) <= utilization(best)) {
        return e;
      }
    }
    return best;
  }

  private static double utilization(Endpoint e) {
    return (double) e.estimatedRequests() / Math.max(1, e.load.limit());
  }

  private List<Endpoint> subset(Target target) {
    refreshSubsets();
    return subsets.getOrDefault(target, List.of());
  }

  /**
   * Chooses for each target the endpoints that this entry uses, from what members say of
   * themselves.
   *
   * <p>Connections and the work of a choice then grow with the subset and not with the fleet; the
   * list is made anew only after a change of members or rules.
   */
  private void refreshSubsets() {
    if (!subsetsStale) {
      return;
    }
    subsetsStale = false;
    subsets.clear();
    for (Endpoint e : endpoints.values()) {
      if (e.health == Health.ALIVE && !e.domainOut && !e.member.leaving()) {
        Target.of(e.member)
            .ifPresent(t -> subsets.computeIfAbsent(t, x -> new ArrayList<>()).add(e));
      }
    }
    subsets.replaceAll((target, all) -> selectSubset(all));
  }

  private List<Endpoint> selectSubset(List<Endpoint> all) {
    if (all.size() <= options.subsetSize()) {
      return all;
    }
    Comparator<Endpoint> nearFirst =
        Comparator.comparing((Endpoint e) -> !e.member.region().equals(region));
    all.sort(nearFirst.thenComparing(Comparator.comparingLong((Endpoint e) -> e.rendezvousWeight)));
    return new ArrayList<>(all.subList(0, options.subsetSize()));
  }

  private record LastUse(String memberId, long usedAt) {}
}
