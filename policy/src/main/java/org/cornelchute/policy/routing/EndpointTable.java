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
 * <p>Endpoints in the region of the entry are preferred. Of the endpoints with capacity, the
 * affinity strategy takes the less loaded of two random ones (Mitzenmacher, "The power of two
 * choices", 2001): if all entries chose the least loaded endpoint, they would overload it before
 * its next load report. The endpoint that last served the same prompt prefix is preferred by a
 * bonus that decreases with the time since that use, as the prefix is gradually evicted from the
 * endpoint's cache.
 */
final class EndpointTable {

  private static final int MAX_PREFIXES = 20_000;
  private static final long PREFIX_AFFINITY_MILLIS = 60_000;

  /** Utilization by which the endpoint that last served a prefix may exceed the alternative. */
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

  /** Returns the endpoints that this entry uses, over all targets. */
  Collection<Endpoint> usedEndpoints() {
    refreshSubsets();
    List<Endpoint> used = new ArrayList<>();
    subsets.values().forEach(used::addAll);
    return used;
  }

  /** Applies a change of a member; returns the endpoint of the member if it is an agent. */
  Optional<Endpoint> updateMember(Member member, Health health, Rules rules) {
    if (member.role() != Role.AGENT) {
      return Optional.empty();
    }
    subsetsStale = true;
    Endpoint endpoint =
        endpoints.computeIfAbsent(
            member.id(), id -> new Endpoint(member, health, RendezvousHash.weight(self, id)));
    if (endpoint.member.boot() != member.boot()) {
      endpoint.load = null;
      endpoint.outstandingRequests = 0;
      endpoint.dispatchedSinceReport = 0;
    }
    endpoint.member = member;
    endpoint.health = health;
    endpoint.domainOut = rules.isDomainOut(rules.resolve(member.domain()));
    if (health == Health.DEAD) {
      endpoints.remove(member.id());
    }
    return Optional.of(endpoint);
  }

  void updateRules(Rules rules) {
    subsetsStale = true;
    for (Endpoint endpoint : endpoints.values()) {
      endpoint.domainOut = rules.isDomainOut(rules.resolve(endpoint.member.domain()));
    }
  }

  /** Returns whether any endpoint serves the target, regardless of its capacity. */
  boolean isServed(Target target) {
    for (Endpoint endpoint : subset(target)) {
      if (endpoint.isServing(target)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether any endpoint has capacity for a request to the target. */
  boolean hasCapacity(Target target, long now) {
    for (Endpoint endpoint : subset(target)) {
      if (endpoint.hasCapacity(now) && endpoint.isServing(target)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the endpoints that may receive a request now: those in the region of this entry, or
   * those in other regions if there are none.
   *
   * @param required generation whose weights the endpoint must serve because it continues a
   *     response, or {@link Generation#NONE}
   * @param failedAgents members on which this request failed before; used only if there are no
   *     others
   */
  List<Endpoint> candidates(
      Target target, Generation required, Set<String> failedAgents, long now) {
    List<Endpoint> sameRegion = new ArrayList<>();
    List<Endpoint> otherRegions = new ArrayList<>();
    List<Endpoint> failed = new ArrayList<>();
    for (Endpoint endpoint : subset(target)) {
      if (!endpoint.hasCapacity(now) || !endpoint.isServing(target)) {
        continue;
      }
      if (!required.equals(Generation.NONE)
          && !required.hasSameWeights(endpoint.load.generation())) {
        continue;
      }
      if (failedAgents.contains(endpoint.member.id())) {
        failed.add(endpoint);
      } else if (endpoint.member.region().equals(region)) {
        sameRegion.add(endpoint);
      } else {
        otherRegions.add(endpoint);
      }
    }
    return !sameRegion.isEmpty() ? sameRegion : !otherRegions.isEmpty() ? otherRegions : failed;
  }

  /** Chooses one of the candidates, which must not be empty. */
  Endpoint choose(Target target, List<Endpoint> candidates, long prefixHash, long now) {
    switch (options.strategy()) {
      case ROUND_ROBIN:
        int position = roundRobinCounters.merge(target, 1, Integer::sum);
        return candidates.get(position % candidates.size());
      case LEAST_OUTSTANDING:
        Endpoint least = candidates.get(0);
        for (Endpoint endpoint : candidates) {
          if (utilization(endpoint) < utilization(least)) {
            least = endpoint;
          }
        }
        return least;
      default:
        return chooseByAffinity(candidates, prefixHash, now);
    }
  }

  /** Counts a dispatched request and records which endpoint received its prompt prefix. */
  void recordDispatch(Endpoint endpoint, long prefixHash, long now) {
    endpoint.outstandingRequests++;
    endpoint.dispatchedSinceReport++;
    if (prefixHash != 0) {
      lastUseByPrefix.put(prefixHash, new LastUse(endpoint.member.id(), now));
    }
  }

  private Endpoint chooseByAffinity(List<Endpoint> candidates, long prefixHash, long now) {
    Endpoint first = candidates.get(random.nextInt(candidates.size()));
    Endpoint second = candidates.get(random.nextInt(candidates.size()));
    Endpoint best = utilization(second) < utilization(first) ? second : first;
    LastUse lastUse = prefixHash == 0 ? null : lastUseByPrefix.get(prefixHash);
    if (lastUse == null) {
      return best;
    }
    double relativeAge = Math.min(1.0, (double) (now - lastUse.usedAt) / PREFIX_AFFINITY_MILLIS);
    for (Endpoint endpoint : candidates) {
      if (endpoint.member.id().equals(lastUse.memberId)
          && utilization(endpoint) - MAX_PREFIX_BONUS * (1 - relativeAge) <= utilization(best)) {
        return endpoint;
      }
    }
    return best;
  }

  private static double utilization(Endpoint endpoint) {
    return (double) endpoint.estimatedRequests() / Math.max(1, endpoint.load.limit());
  }

  private List<Endpoint> subset(Target target) {
    refreshSubsets();
    return subsets.getOrDefault(target, List.of());
  }

  /**
   * Recomputes the subset of endpoints that this entry uses for each target, if members or rules
   * have changed.
   *
   * <p>The target of an endpoint is the one that its member announces. The subset keeps the number
   * of connections and the cost of a choice independent of the size of the fleet.
   */
  private void refreshSubsets() {
    if (!subsetsStale) {
      return;
    }
    subsetsStale = false;
    subsets.clear();
    for (Endpoint endpoint : endpoints.values()) {
      if (endpoint.health == Health.ALIVE && !endpoint.domainOut && !endpoint.member.leaving()) {
        Target.of(endpoint.member)
            .ifPresent(
                target -> subsets.computeIfAbsent(target, key -> new ArrayList<>()).add(endpoint));
      }
    }
    subsets.replaceAll((target, all) -> selectSubset(all));
  }

  private List<Endpoint> selectSubset(List<Endpoint> all) {
    if (all.size() <= options.subsetSize()) {
      return all;
    }
    Comparator<Endpoint> sameRegionFirst =
        Comparator.comparing((Endpoint endpoint) -> !endpoint.member.region().equals(region));
    all.sort(
        sameRegionFirst.thenComparing(
            Comparator.comparingLong((Endpoint endpoint) -> endpoint.rendezvousWeight)));
    return new ArrayList<>(all.subList(0, options.subsetSize()));
  }

  private record LastUse(String memberId, long usedAt) {}
}
