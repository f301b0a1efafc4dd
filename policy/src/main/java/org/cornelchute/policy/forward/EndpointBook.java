package org.cornelchute.policy.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelchute.core.model.OpenCalls;
import org.cornelchute.policy.util.RendezvousHash;

/**
 * Every endpoint that the directory lists, with this entry's beliefs on it, and the choice among
 * them.
 */
final class EndpointBook {

  /** How much more load a nearer endpoint may have and still be preferred, in calls. */
  private static final double FAR_PENALTY = 4.0;

  /** Part of a cold endpoint's limit that is used; the rest covers calls that bunch on the way. */
  private static final double SAFE_SHARE = 0.8;

  private static final double FIRST_STRIKE_MILLIS = 200;

  /** Time in which endpoints whose entries lapsed with the store are listed again. */
  private static final long LAPSE_MILLIS = 1_700;

  /**
   * Endpoints missing at once, and their share of all, above which they are held to have lapsed.
   */
  private static final int LAPSE_COUNT = 4;

  private static final double LAPSE_SHARE = 0.3;

  /** Longest time that an engine is held to be changing over. */
  private static final long CHANGE_MILLIS = 4_000;

  /** Time by which an endpoint's entry in the directory may lag behind what its agent says. */
  private static final long ENTRY_LAG_MILLIS = 2_500;

  private static final int MAX_STRIKES = 4;

  private final CallOptions options;
  private final Map<String, Endpoint> byId = new HashMap<>();
  private final Map<String, List<Endpoint>> byService = new HashMap<>();
  private Set<String> evacuated = Set.of();
  private List<String> entries;
  private long settlesAt;

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

  /** Returns this entry's open calls at each endpoint that has some. */
  List<OpenCalls> openCalls() {
    List<OpenCalls> open = new ArrayList<>();
    for (Endpoint e : byId.values()) {
      if (e.own > 0) {
        open.add(new OpenCalls(e.spec.id().hashCode(), e.own));
      }
    }
    return open;
  }

  /** Takes what another entry has open. */
  void shared(long now, String entry, List<OpenCalls> open) {
    Map<Integer, Integer> calls = new HashMap<>();
    for (OpenCalls o : open) {
      calls.merge(o.endpoint(), o.calls(), Math::max);
    }
    for (Endpoint e : byId.values()) {
      e.told(now, entry, calls.getOrDefault(e.spec.id().hashCode(), 0));
    }
  }

  void evacuated(Set<String> domains) {
    evacuated = Set.copyOf(domains);
  }

  /** Takes the hosts whose engines change over, and how. */
  void changing(long now, Map<String, WeightsSwitch> changeByHost) {
    for (Endpoint e : byId.values()) {
      WeightsSwitch c = changeByHost.get(e.host());
      if (c == null || c.engineStartedAtMillis() != e.spec.startedAtMillis()) {
        continue;
      }
      if (c.loadedVersion() >= c.targetVersion()) {
        e.version = Math.max(e.version, c.loadedVersion());
        e.loadedAt = now;
      } else if (c.targetVersion() > e.changingTo) {
        e.changingTo = c.targetVersion();
        e.changingUntil = now + CHANGE_MILLIS;
      }
    }
  }

  /** Takes the whole directory; beliefs on incarnations that are still listed stay. */
  void listed(long now, Collection<EndpointSpec> all) {
    Set<String> present = new HashSet<>();
    for (EndpointSpec s : all) {
      present.add(s.id());
      Endpoint e = byId.get(s.id());
      boolean fresh =
          e == null
              || e.spec.startedAtMillis() != s.startedAtMillis()
              || !e.spec.address().equals(s.address());
      if (fresh) {
        e = new Endpoint(s);
        byId.put(s.id(), e);
      }
      if (s.coldRemainingMillis() > 0
          && (fresh || e.spec.coldRemainingMillis() != s.coldRemainingMillis())) {
        e.coldUntil = Math.max(e.coldUntil, now + s.coldRemainingMillis());
      }
      boolean outrun = s.version() < e.version && now - e.loadedAt < ENTRY_LAG_MILLIS && !fresh;
      if (s.version() != e.spec.version() && !outrun) {
        e.version = s.version();
      }
      e.spec = s;
    }
    miss(now, present);
    index();
  }

  /** Notes that the directory answers again after an outage, in which entries may have lapsed. */
  void regained(long now) {
    settlesAt = now + LAPSE_MILLIS;
  }

  /** Drops endpoints that lapsed and did not come back. */
  void sweep(long now) {
    if (byId.values().removeIf(e -> e.goneAt > 0 && now >= e.goneAt)) {
      index();
    }
  }

  /** Drops endpoints that are listed no more; where many lapse at once, they get time to return. */
  private void miss(long now, Set<String> present) {
    int missing = 0;
    for (Endpoint e : byId.values()) {
      if (present.contains(e.spec.id())) {
        e.goneAt = 0;
      } else {
        missing++;
      }
    }
    boolean lapsed =
        now < settlesAt || missing >= LAPSE_COUNT && missing >= LAPSE_SHARE * byId.size();
    for (Endpoint e : List.copyOf(byId.values())) {
      if (present.contains(e.spec.id())) {
        continue;
      }
      if (!lapsed && e.goneAt == 0) {
        byId.remove(e.spec.id());
      } else if (e.goneAt == 0) {
        e.goneAt = now + LAPSE_MILLIS;
      }
    }
  }

  private void index() {
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
    List<Endpoint> sound = new ArrayList<>();
    List<Endpoint> doubtful = new ArrayList<>();
    for (Endpoint e : byService.getOrDefault(need.service().name(), List.of())) {
      if (mayServe(e, need) && !e.isChanging(now)) {
        (now < e.avoidUntil ? doubtful : sound).add(e);
      }
    }
    // Endpoints that just failed are used only where there are no others at all.
    return leastLoaded(now, need, sound.isEmpty() ? doubtful : sound);
  }

  private Choice leastLoaded(long now, Need need, List<Endpoint> candidates) {
    Endpoint best = null;
    double least = Double.MAX_VALUE;
    for (Endpoint e : candidates) {
      boolean passed = need.tried().contains(e.spec.id());
      if (passed || e.isCold(now) && !coldRoom(now, e, need)) {
        continue;
      }
      double load = e.load(now, entries.size());
      double score = load / e.spec.slots() + penalty(e);
      if (load < need.limitPerSlot() * e.spec.slots() && score < least) {
        least = score;
        best = e;
      }
    }
    return new Choice(Optional.ofNullable(best), candidates.size());
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

  private boolean mayServe(Endpoint e, Need need) {
    if (e.spec.draining() || evacuated.contains(e.spec.domain())) {
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
    double limit = need.service().coldCallsPerSecond();
    if (limit <= 0) {
      return true;
    }
    double total = limit * options.coldOverrunFactor() + options.coldAllowance();
    int whole = (int) Math.floor(total * SAFE_SHARE);
    int part = whole / entries.size();
    if (part == 0) {
      // Fewer calls than entries: the entries that rank first for this endpoint get one each.
      List<String> order = RendezvousHash.order(e.spec.id(), entries);
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
   * @param allowed endpoints that may serve the call, full or not
   */
  record Choice(Optional<Endpoint> endpoint, int allowed) {}
}
