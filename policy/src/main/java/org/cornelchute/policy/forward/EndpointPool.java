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
final class EndpointPool {

  /** How much more load a nearer endpoint may have and still be preferred, in calls. */
  private static final double CROSS_DOMAIN_PENALTY = 4.0;

  /** Part of a cold endpoint's limit that is used; the rest covers calls that bunch on the way. */
  private static final double COLD_LIMIT_SAFETY_FACTOR = 0.8;

  private static final double INITIAL_BACKOFF_MILLIS = 200;

  /** Time in which endpoints whose entries lapsed with the store are listed again. */
  private static final long RELISTING_GRACE_MILLIS = 1_700;

  /**
   * Endpoints missing at once, and their share of all, above which they are held to have lapsed.
   */
  private static final int MASS_EXPIRY_MIN_COUNT = 4;

  private static final double MASS_EXPIRY_MIN_SHARE = 0.3;

  /** Longest time that an engine is held to be changing over. */
  private static final long WEIGHTS_SWITCH_TIMEOUT_MILLIS = 4_000;

  /** Time by which an endpoint's entry in the directory may lag behind what its agent says. */
  private static final long DIRECTORY_LAG_MILLIS = 2_500;

  private static final int MAX_COUNTED_FAILURES = 4;

  private final CallOptions options;
  private final Map<String, Endpoint> byId = new HashMap<>();
  private final Map<String, List<Endpoint>> byService = new HashMap<>();
  private Set<String> evacuated = Set.of();
  private List<String> entries;
  private long recoveryGraceUntil;

  EndpointPool(CallOptions options) {
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
      if (e.ownCalls > 0) {
        open.add(new OpenCalls(e.spec.id().hashCode(), e.ownCalls));
      }
    }
    return open;
  }

  /** Takes what another entry has open. */
  void recordEntryReport(long now, String entry, List<OpenCalls> open) {
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
  void updateWeightsSwitches(long now, Map<String, WeightsSwitch> changeByHost) {
    for (Endpoint e : byId.values()) {
      WeightsSwitch c = changeByHost.get(e.host());
      if (c == null || c.engineStartedAtMillis() != e.spec.startedAtMillis()) {
        continue;
      }
      if (c.loadedVersion() >= c.targetVersion()) {
        e.version = Math.max(e.version, c.loadedVersion());
        e.loadReportedAt = now;
      } else if (c.targetVersion() > e.switchTargetVersion) {
        e.switchTargetVersion = c.targetVersion();
        e.switchExpiresAt = now + WEIGHTS_SWITCH_TIMEOUT_MILLIS;
      }
    }
  }

  /** Takes the whole directory; beliefs on incarnations that are still listed stay. */
  void updateEndpoints(long now, Collection<EndpointSpec> all) {
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
      boolean outrun =
          s.version() < e.version && now - e.loadReportedAt < DIRECTORY_LAG_MILLIS && !fresh;
      if (s.version() != e.spec.version() && !outrun) {
        e.version = s.version();
      }
      e.spec = s;
    }
    handleMissing(now, present);
    rebuildServiceIndex();
  }

  /** Notes that the directory answers again after an outage, in which entries may have lapsed. */
  void onDirectoryRecovered(long now) {
    recoveryGraceUntil = now + RELISTING_GRACE_MILLIS;
  }

  /** Drops endpoints that lapsed and did not come back. */
  void removeExpired(long now) {
    if (byId.values().removeIf(e -> e.removeAt > 0 && now >= e.removeAt)) {
      rebuildServiceIndex();
    }
  }

  /** Drops endpoints that are listed no more; where many lapse at once, they get time to return. */
  private void handleMissing(long now, Set<String> present) {
    int missing = 0;
    for (Endpoint e : byId.values()) {
      if (present.contains(e.spec.id())) {
        e.removeAt = 0;
      } else {
        missing++;
      }
    }
    boolean lapsed =
        now < recoveryGraceUntil
            || missing >= MASS_EXPIRY_MIN_COUNT && missing >= MASS_EXPIRY_MIN_SHARE * byId.size();
    for (Endpoint e : List.copyOf(byId.values())) {
      if (present.contains(e.spec.id())) {
        continue;
      }
      if (!lapsed && e.removeAt == 0) {
        byId.remove(e.spec.id());
      } else if (e.removeAt == 0) {
        e.removeAt = now + RELISTING_GRACE_MILLIS;
      }
    }
  }

  private void rebuildServiceIndex() {
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
  Choice choose(long now, Requirements need) {
    List<Endpoint> sound = new ArrayList<>();
    List<Endpoint> doubtful = new ArrayList<>();
    for (Endpoint e : byService.getOrDefault(need.service().name(), List.of())) {
      if (isEligible(e, need) && !e.isSwitchingVersion(now)) {
        (now < e.avoidUntil ? doubtful : sound).add(e);
      }
    }
    // Endpoints that just failed are used only where there are no others at all.
    return chooseLeastLoaded(now, need, sound.isEmpty() ? doubtful : sound);
  }

  private Choice chooseLeastLoaded(long now, Requirements need, List<Endpoint> candidates) {
    Endpoint best = null;
    double least = Double.MAX_VALUE;
    for (Endpoint e : candidates) {
      boolean passed = need.triedEndpoints().contains(e.spec.id());
      if (passed || e.isCold(now) && !hasColdCapacity(now, e, need)) {
        continue;
      }
      double load = e.estimateLoad(now, entries.size());
      double score = load / e.spec.slots() + domainPenalty(e);
      if (load < need.maxLoadPerSlot() * e.spec.slots() && score < least) {
        least = score;
        best = e;
      }
    }
    return new Choice(Optional.ofNullable(best), candidates.size());
  }

  /** Notes that an endpoint failed or kept silent, so that others are preferred for a while. */
  void recordFailure(long now, Endpoint e) {
    e.failureCount = Math.min(MAX_COUNTED_FAILURES, e.failureCount + 1);
    e.avoidUntil = now + (long) (INITIAL_BACKOFF_MILLIS * (1 << e.failureCount - 1));
  }

  /** Notes bytes from an endpoint. */
  void recordActivity(long now, Endpoint e) {
    e.lastReceivedAt = now;
    e.failureCount = 0;
    e.avoidUntil = 0;
  }

  private boolean isEligible(Endpoint e, Requirements need) {
    if (e.spec.draining() || evacuated.contains(e.spec.domain())) {
      return false;
    }
    if (!need.regions().isEmpty() && !need.regions().contains(e.spec.region())) {
      return false;
    }
    if (need.service().engine().isEmpty()) {
      return true;
    }
    return e.version > 0 && e.version >= need.minVersion() && need.matchesExactVersion(e.version);
  }

  /** Returns whether this entry's part of a cold endpoint's limit has room. */
  private boolean hasColdCapacity(long now, Endpoint e, Requirements need) {
    double limit = need.service().coldCallsPerSecond();
    if (limit <= 0) {
      return true;
    }
    double total = limit * options.coldOverrunFactor() + options.coldAllowance();
    int whole = (int) Math.floor(total * COLD_LIMIT_SAFETY_FACTOR);
    int part = whole / entries.size();
    if (part == 0) {
      // Fewer calls than entries: the entries that rank first for this endpoint get one each.
      List<String> order = RendezvousHash.order(e.spec.id(), entries);
      part = order.indexOf(options.self()) < whole ? 1 : 0;
    }
    return e.recentDispatches.count(now) < part;
  }

  private double domainPenalty(Endpoint e) {
    double far = e.spec.domain().equals(options.domain()) ? 0 : CROSS_DOMAIN_PENALTY;
    return far / Math.max(1, e.spec.slots());
  }

  /**
   * What a call asks of an endpoint.
   *
   * @param service its service
   * @param regions regions that may serve it; empty for all
   * @param minVersion least version of the weights
   * @param exactVersion version that a stream began on, 0 if it has not begun
   * @param maxLoadPerSlot load up to which an endpoint takes it, per slot
   * @param triedEndpoints endpoints that it was sent to before
   */
  record Requirements(
      ServiceSpec service,
      Set<String> regions,
      long minVersion,
      long exactVersion,
      double maxLoadPerSlot,
      Set<String> triedEndpoints) {

    boolean matchesExactVersion(long offered) {
      return exactVersion == 0 || exactVersion == offered;
    }
  }

  /**
   * Result of a choice.
   *
   * @param endpoint the endpoint, empty if none has room
   * @param eligibleCount endpoints that may serve the call, full or not
   */
  record Choice(Optional<Endpoint> endpoint, int eligibleCount) {}
}
