package org.cornelchute.policy.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelchute.policy.util.Rendezvous;

/**
 * Every endpoint that the directory lists, with this entry's beliefs on it, and the choice among
 * them.
 */
final class EndpointBook {

  /** How much more load a nearer endpoint may have and still be preferred, in calls. */
  private static final double FAR_PENALTY = 1.0;

  /** Part of a cold endpoint's limit that is used; the rest covers calls that bunch on the way. */
  private static final double SAFE_SHARE = 0.8;

  private static final double FIRST_STRIKE_MILLIS = 400;
  private static final int MAX_STRIKES = 4;

  private final CallOptions options;
  private final Map<String, Endpoint> byId = new HashMap<>();
  private final Map<String, List<Endpoint>> byService = new HashMap<>();
  private Set<String> evacuated = Set.of();
  private List<String> entries;

  EndpointBook(CallOptions options) {
    this.options = options;
    this.entries = List.of(options.self());
  }

  Optional<Endpoint> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  int entries() {
    return entries.size();
  }

  /** Takes the entries that send to the same endpoints, this one included. */
  void entries(Collection<String> names) {
    Set<String> all = new HashSet<>(names);
    all.add(options.self());
    entries = List.copyOf(all);
  }

  void evacuated(Set<String> domains) {
    evacuated = Set.copyOf(domains);
  }

  /** Takes the whole directory; beliefs on incarnations that are still listed stay. */
  void listed(long now, Collection<EndpointSpec> all) {
    Set<String> present = new HashSet<>();
    for (EndpointSpec s : all) {
      present.add(s.id());
      Endpoint e = byId.get(s.id());
      boolean fresh =
          e == null || e.spec.born() != s.born() || !e.spec.address().equals(s.address());
      if (fresh) {
        e = new Endpoint(s);
        byId.put(s.id(), e);
      }
      if (s.coldMillis() > 0 && (fresh || e.spec.coldMillis() != s.coldMillis())) {
        e.coldUntil = Math.max(e.coldUntil, now + s.coldMillis());
      }
      if (s.version() != e.spec.version()) {
        e.version = s.version();
      }
      e.spec = s;
    }
    byId.keySet().retainAll(present);
    byService.clear();
    for (Endpoint e : byId.values()) {
      byService.computeIfAbsent(e.spec.service(), s -> new ArrayList<>()).add(e);
    }
  }

  /**
   * Chooses the endpoint with the least load among those that may take a call now.
   *
   * @param need what the call asks for
   * @return the choice, or why there is none
   */
  Choice choose(long now, Need need) {
    Endpoint best = null;
    double least = Double.MAX_VALUE;
    int allowed = 0;
    int room = 0;
    for (Endpoint e : byService.getOrDefault(need.service().name(), List.of())) {
      if (!mayServe(now, e, need)) {
        continue;
      }
      allowed++;
      if (need.tried().contains(e.spec.id()) || e.isCold(now) && !coldRoom(now, e, need)) {
        continue;
      }
      double load = e.load(now);
      if (load >= need.limitPerSlot() * e.spec.slots()) {
        continue;
      }
      room++;
      double score = load / Math.max(1, e.spec.slots()) + penalty(e);
      if (score < least) {
        least = score;
        best = e;
      }
    }
    return new Choice(Optional.ofNullable(best), allowed, room);
  }

  /** Notes that an endpoint failed or kept silent, so that others are preferred for a while. */
  void strike(long now, Endpoint e) {
    e.strikes = Math.min(MAX_STRIKES, e.strikes + 1);
    e.avoidUntil = now + (long) (FIRST_STRIKE_MILLIS * (1 << e.strikes - 1));
  }

  /** Notes bytes from an endpoint. */
  void heard(long now, Endpoint e) {
    e.lastHeard = now;
    e.strikes = 0;
    e.avoidUntil = 0;
  }

  private boolean mayServe(long now, Endpoint e, Need need) {
    if (e.spec.draining() || evacuated.contains(e.spec.domain()) || now < e.avoidUntil) {
      return false;
    }
    if (!need.regions().isEmpty() && !need.regions().contains(e.spec.region())) {
      return false;
    }
    if (need.service().engine().isEmpty()) {
      return true;
    }
    return e.version > 0 && e.version >= need.version() && need.sameVersion(e.version);
  }

  /** Returns whether this entry's part of a cold endpoint's limit has room. */
  private boolean coldRoom(long now, Endpoint e, Need need) {
    double limit = need.service().coldPerSecond();
    if (limit <= 0) {
      return true;
    }
    double total = limit * options.coldOverrun() + options.coldAllowance();
    int whole = (int) Math.floor(total * SAFE_SHARE);
    int part = whole / entries.size();
    if (part == 0) {
      // Fewer calls than entries: the entries that rank first for this endpoint get one each.
      List<String> order = Rendezvous.order(e.spec.id(), entries);
      part = order.indexOf(options.self()) < whole ? 1 : 0;
    }
    return e.sent.count(now) < part;
  }

  private double penalty(Endpoint e) {
    double far = e.spec.domain().equals(options.domain()) ? 0 : FAR_PENALTY;
    return far / Math.max(1, e.spec.slots());
  }

  /**
   * What a call asks of an endpoint.
   *
   * @param service its service
   * @param regions regions that may serve it; empty for all
   * @param version least version of the weights
   * @param exactVersion version that a stream began on, 0 if it has not begun
   * @param limitPerSlot load up to which an endpoint takes it, per slot
   * @param tried endpoints that it was sent to before
   */
  record Need(
      ServiceSpec service,
      Set<String> regions,
      long version,
      long exactVersion,
      double limitPerSlot,
      Set<String> tried) {

    boolean sameVersion(long offered) {
      return exactVersion == 0 || exactVersion == offered;
    }
  }

  /**
   * Result of a choice.
   *
   * @param endpoint the endpoint, empty if none has room
   * @param allowed endpoints that may serve the call
   * @param room endpoints of these that have room
   */
  record Choice(Optional<Endpoint> endpoint, int allowed, int room) {}
}
