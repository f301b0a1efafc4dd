package org.cornelchute.policy.routing;

import java.util.ArrayList;
import java.util.Collection;
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
import org.cornelchute.policy.util.Rendezvous;

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
  private static final long PREFIX_MILLIS = 60_000;
  private static final double PREFIX_BONUS = 0.5;

  private final String self;
  private final String region;
  private final RoutingOptions options;
  private final Random random;
  private final Map<String, Endpoint> endpoints = new TreeMap<>();
  private final Map<Long, LastUse> prefixes =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, LastUse> eldest) {
          return size() > MAX_PREFIXES;
        }
      };
  private final Map<Target, Integer> turns = new HashMap<>();

  EndpointTable(String self, String region, RoutingOptions options, long seed) {
    this.self = self;
    this.region = region;
    this.options = options;
    this.random = new Random(seed);
  }

  Optional<Endpoint> find(String id) {
    return Optional.ofNullable(endpoints.get(id));
  }

  Collection<Endpoint> all() {
    return endpoints.values();
  }

  /** Takes a change of a member; returns its endpoint if the member is an agent. */
  Optional<Endpoint> changed(Member m, Health health, Rules rules) {
    if (m.role() != Role.AGENT) {
      return Optional.empty();
    }
    Endpoint e = endpoints.computeIfAbsent(m.id(), id -> new Endpoint(m, health));
    if (e.member.boot() != m.boot()) {
      e.load = null;
      e.outstanding = 0;
      e.sentSinceReport = 0;
    }
    e.member = m;
    e.health = health;
    e.out = rules.isOut(rules.resolve(m.domain()));
    if (health == Health.DEAD) {
      endpoints.remove(m.id());
    }
    return Optional.of(e);
  }

  void rules(Rules rules) {
    for (Endpoint e : endpoints.values()) {
      e.out = rules.isOut(rules.resolve(e.member.domain()));
    }
  }

  /** Returns whether any endpoint serves the target, with room or without. */
  boolean serves(Target target) {
    for (Endpoint e : endpoints.values()) {
      if (isServing(e, target)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether any endpoint is known that serves the target, could it take work or not. */
  boolean hasRoom(Target target, long now) {
    for (Endpoint e : endpoints.values()) {
      if (e.hasRoom(now) && target.servedBy(e.member, e.load)) {
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
      if (!e.hasRoom(now)) {
        continue;
      }
      if (!weights.equals(Generation.NONE) && !weights.sameWeights(e.load.generation())) {
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
        int turn = turns.merge(target, 1, Integer::sum);
        return candidates.get(turn % candidates.size());
      case LEAST_OUTSTANDING:
        Endpoint least = candidates.get(0);
        for (Endpoint e : candidates) {
          if (score(e) < score(least)) {
            least = e;
          }
        }
        return least;
      default:
        return chooseByAffinity(candidates, prefix, now);
    }
  }

  /** Remembers where a prefix went. */
  void sent(Endpoint e, long prefix, long now) {
    e.outstanding++;
    e.sentSinceReport++;
    if (prefix != 0) {
      prefixes.put(prefix, new LastUse(e.member.id(), now));
    }
  }

  private Endpoint chooseByAffinity(List<Endpoint> candidates, long prefix, long now) {
    Endpoint a = candidates.get(random.nextInt(candidates.size()));
    Endpoint b = candidates.get(random.nextInt(candidates.size()));
    Endpoint best = score(b) < score(a) ? b : a;
    LastUse last = prefix == 0 ? null : prefixes.get(prefix);
    if (last == null) {
      return best;
    }
    double age = Math.min(1.0, (double) (now - last.at) / PREFIX_MILLIS);
    for (Endpoint e : candidates) {
      if (e.member.id().equals(last.member) && score(e) - PREFIX_BONUS * (1 - age) <= score(best)) {
        return e;
      }
    }
    return best;
  }

  private static double score(Endpoint e) {
    return (double) e.held() / Math.max(1, e.load.limit());
  }

  /** Limits the endpoints that one entry uses, so that connections grow with entries only. */
  private List<Endpoint> subset(Target target) {
    List<Endpoint> serving = new ArrayList<>();
    for (Endpoint e : endpoints.values()) {
      if (isServing(e, target)) {
        serving.add(e);
      }
    }
    if (serving.size() <= options.subset()) {
      return serving;
    }
    serving.sort(
        (a, b) -> {
          boolean nearA = a.member.region().equals(region);
          boolean nearB = b.member.region().equals(region);
          if (nearA != nearB) {
            return nearA ? -1 : 1;
          }
          return Long.compare(
              Rendezvous.weight(self, b.member.id()), Rendezvous.weight(self, a.member.id()));
        });
    return serving.subList(0, options.subset());
  }

  private static boolean isServing(Endpoint e, Target target) {
    return e.load != null
        && e.load.ready()
        && !e.out
        && !e.member.leaving()
        && target.servedBy(e.member, e.load);
  }

  private record LastUse(String member, long at) {}
}
