package org.cornelchute.policy.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelchute.core.model.OpenCalls;
import org.cornelchute.policy.load.PrefixSaving;

/** All endpoints that the directory lists, with the state that this entry keeps for selection. */
final class EndpointPool {

  /**
   * Fraction of the limit of a cold endpoint that the entries use. The rest covers calls that leave
   * the entries within the limit but arrive closer together.
   */
  private static final double COLD_LIMIT_SAFETY_FACTOR = 0.8;

  /**
   * Window in which calls to a cold endpoint are counted. Longer than the second to which the limit
   * applies, since calls may arrive closer together than they were sent.
   */
  private static final long COLD_WINDOW_MILLIS = 1_150;

  /** Backoff after the first failure of an endpoint; doubles with each further failure. */
  private static final double INITIAL_BACKOFF_MILLIS = 200;

  /** Time for endpoints to register again after their registrations expired in an outage. */
  private static final long RELISTING_GRACE_MILLIS = 1_700;

  /**
   * Time from the first list until running endpoints are certainly listed, if the process started
   * just after an outage: about two seconds to register again, and the delivery of the list.
   */
  private static final long FIRST_LIST_GRACE_MILLIS = 2_300;

  private static final long NEVER = Long.MAX_VALUE;

  /**
   * If at least this many endpoints, and at least {@link #MASS_EXPIRY_MIN_SHARE} of all, are
   * missing from the list at once, their registrations are assumed to have expired.
   */
  private static final int MASS_EXPIRY_MIN_COUNT = 4;

  private static final double MASS_EXPIRY_MIN_SHARE = 0.3;

  /** Maximum time for which an engine is considered to be switching weights. */
  private static final long WEIGHTS_SWITCH_TIMEOUT_MILLIS = 4_000;

  /** Maximum time by which the directory lags behind the version that the agent reports. */
  private static final long DIRECTORY_LAG_MILLIS = 2_500;

  /** Time for which the state of an endpoint is kept after its removal, for it to come back. */
  private static final long RETENTION_MILLIS = 5_000;

  /** Maximum failure count, which caps the backoff at eight times its initial value. */
  private static final int MAX_COUNTED_FAILURES = 4;

  private final CallOptions options;
  private final Map<String, Endpoint> byId = new HashMap<>();
  private final Map<String, List<Endpoint>> byService = new HashMap<>();

  /** Endpoints that were removed, by id, while they have open calls or may come back. */
  private final Map<String, Endpoint> removedById = new HashMap<>();

  private final Set<String> listedServices = new HashSet<>();
  private final Map<String, SwitchReport> switchReportByHost = new HashMap<>();
  private Set<String> evacuatedDomains = Set.of();
  private final EntryList entries;
  private final EndpointLimits limits;
  private final EndpointNotices notices = new EndpointNotices();
  private final EndpointScores scores;
  private long recoveryGraceUntil;

  /** Time up to which running endpoints may be missing from the first list. */
  private long firstListGraceUntil = NEVER;

  EndpointPool(CallOptions options) {
    this.options = options;
    this.entries = new EntryList(options.self());
    this.limits = new EndpointLimits(entries);
    this.scores = new EndpointScores(options.self(), options.domain());
  }

  Optional<Endpoint> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns the number of entries that send calls to the endpoints, as far as they were found. */
  int entryCount() {
    return entries.foundCount();
  }

  /** Returns the names of all entries that were found. */
  Collection<String> entryNames() {
    return entries.names();
  }

  /** Returns whether the list of entries was read and contains this one. */
  boolean isEntryListKnown() {
    return entries.isKnown();
  }

  /** Returns the number of entries that limits are divided by; see {@link EntryList}. */
  int sharingEntryCount() {
    return entries.sharingCount();
  }

  /** Adds the entries that the store lists. */
  void updateEntries(Collection<String> names) {
    entries.addAll(names);
  }

  /** Returns the limits that endpoints name. */
  EndpointLimits limits() {
    return limits;
  }

  /** Returns what is known of the speed of endpoints and of their caches. */
  EndpointScores scores() {
    return scores;
  }

  /**
   * Records what a response of an endpoint says about further calls to it.
   *
   * @return whether this entry knows more than before
   */
  boolean recordNotice(long now, EndpointSpec endpoint, EndpointNotice notice) {
    return notices.record(now, endpoint, notice);
  }

  /** Returns the open calls of this entry at each endpoint that has any. */
  List<OpenCalls> openCalls() {
    List<OpenCalls> open = new ArrayList<>();
    for (Endpoint endpoint : byId.values()) {
      if (endpoint.ownCalls > 0) {
        open.add(new OpenCalls(endpoint.spec.id().hashCode(), endpoint.ownCalls));
      }
    }
    return open;
  }

  /** Records the open calls that another entry reports, by endpoint. */
  void recordEntryReport(long now, String entry, List<OpenCalls> open) {
    entries.addAll(List.of(entry));
    Map<Integer, Integer> calls = new HashMap<>();
    for (OpenCalls o : open) {
      calls.merge(o.endpoint(), o.calls(), Math::max);
    }
    for (Endpoint endpoint : byId.values()) {
      endpoint.recordEntryReport(now, entry, calls.getOrDefault(endpoint.spec.id().hashCode(), 0));
    }
  }

  void updateEvacuatedDomains(Set<String> domains) {
    evacuatedDomains = Set.copyOf(domains);
  }

  /** Records the weights switches that agents report, by host. */
  void updateWeightsSwitches(long now, Map<String, WeightsSwitch> switchByHost) {
    switchByHost.forEach((host, s) -> switchReportByHost.put(host, new SwitchReport(s, now)));
    for (Endpoint endpoint : byId.values()) {
      if (switchByHost.containsKey(endpoint.host())) {
        applySwitchReport(endpoint);
      }
    }
  }

  private void applySwitchReport(Endpoint endpoint) {
    SwitchReport report = switchReportByHost.get(endpoint.host());
    if (report == null
        || report.weightsSwitch.engineStartedAtMillis() != endpoint.spec.startedAtMillis()) {
      return;
    }
    scores.setCachesPrefixes(endpoint, report.weightsSwitch.cachesPrefixes());
    long targetVersion = report.weightsSwitch.targetVersion();
    long loadedVersion = report.weightsSwitch.loadedVersion();
    if (targetVersion == 0) {
      return;
    }
    if (loadedVersion >= targetVersion) {
      endpoint.recordVersion(
          Math.max(endpoint.version, loadedVersion), loadedVersion >= endpoint.version);
      endpoint.loadReportedAt = report.receivedAt;
    } else if (targetVersion > endpoint.switchTargetVersion) {
      endpoint.switchTargetVersion = targetVersion;
      endpoint.switchExpiresAt = report.receivedAt + WEIGHTS_SWITCH_TIMEOUT_MILLIS;
    }
  }

  /**
   * Returns whether the endpoints are known. An empty first list is not taken for known before
   * endpoints whose registrations expired in an outage had time to register again.
   */
  boolean isKnown(long now) {
    return !listedServices.isEmpty() || now >= firstListGraceUntil;
  }

  /**
   * Returns whether endpoints of a service may be missing because they are not listed again yet:
   * shortly after the first list, if none of them was ever listed.
   */
  boolean mayLackEndpoints(long now, String service) {
    return now < firstListGraceUntil && !listedServices.contains(service);
  }

  /** Replaces the list of endpoints; the state of incarnations that are still listed is kept. */
  void updateEndpoints(long now, Collection<EndpointSpec> specs) {
    if (firstListGraceUntil == NEVER) {
      firstListGraceUntil = now + FIRST_LIST_GRACE_MILLIS;
    }
    Set<String> listedIds = new HashSet<>();
    for (EndpointSpec spec : specs) {
      listedIds.add(spec.id());
      listedServices.add(spec.service());
      Endpoint endpoint = findOrRestore(spec.id());
      boolean newIncarnation =
          endpoint == null
              || endpoint.spec.startedAtMillis() != spec.startedAtMillis()
              || !endpoint.spec.address().equals(spec.address());
      if (newIncarnation) {
        if (endpoint != null) {
          endpoint.vitality.setDelisted(true);
          // Nothing is known of the weights that its open attempts may begin on.
          endpoint.recordVersion(0, false);
        }
        endpoint = scores.newEndpoint(spec);
        byId.put(spec.id(), endpoint);
        applySwitchReport(endpoint);
      }
      if (spec.coldRemainingMillis() > 0
          && (newIncarnation
              || endpoint.spec.coldRemainingMillis() != spec.coldRemainingMillis()
              || endpoint.spec.revision() != spec.revision())) {
        endpoint.coldUntil = Math.max(endpoint.coldUntil, now + spec.coldRemainingMillis());
      }
      boolean directoryLags =
          spec.version() < endpoint.version
              && now - endpoint.loadReportedAt < DIRECTORY_LAG_MILLIS
              && !newIncarnation;
      if (spec.version() != endpoint.spec.version() && !directoryLags) {
        endpoint.recordVersion(spec.version(), true);
      }
      endpoint.spec = spec;
    }
    recordReplaced();
    handleMissing(now, listedIds);
    removedById.values().removeIf(e -> e.ownCalls == 0 && now >= e.removeAt + RETENTION_MILLIS);
    scores.retain(byId.values(), removedById.values());
    rebuildServiceIndex();
  }

  /** Records which endpoints have ended because a later one is listed at their address. */
  private void recordReplaced() {
    Map<String, Long> latestStartByAddress = new HashMap<>();
    for (Endpoint endpoint : byId.values()) {
      latestStartByAddress.merge(
          endpoint.spec.address(), endpoint.spec.startedAtMillis(), Math::max);
    }
    for (Endpoint endpoint : byId.values()) {
      if (endpoint.spec.startedAtMillis() < latestStartByAddress.get(endpoint.spec.address())) {
        endpoint.vitality.setDelisted(true);
      }
    }
  }

  /** Returns an endpoint, with its state from before its removal if it was removed; may be null. */
  private Endpoint findOrRestore(String id) {
    Endpoint removed = removedById.remove(id);
    if (removed != null) {
      removed.vitality.setDelisted(false);
      byId.putIfAbsent(id, removed);
      applySwitchReport(removed);
    }
    return byId.get(id);
  }

  /**
   * Records that the directory is available again after an outage, during which the registrations
   * of running endpoints may have expired.
   */
  void onDirectoryRecovered(long now) {
    recoveryGraceUntil = now + RELISTING_GRACE_MILLIS;
  }

  /** Removes endpoints that did not register again within the grace period. */
  void removeExpired(long now) {
    List<Endpoint> expired = byId.values().stream().filter(e -> isExpired(now, e)).toList();
    expired.forEach(e -> remove(now, e));
    if (!expired.isEmpty()) {
      rebuildServiceIndex();
    }
  }

  private void remove(long now, Endpoint endpoint) {
    byId.remove(endpoint.spec.id());
    endpoint.vitality.setDelisted(true);
    endpoint.removeAt = now;
    removedById.put(endpoint.spec.id(), endpoint);
  }

  /** Returns whether an endpoint did not register again within the grace period. */
  private static boolean isExpired(long now, Endpoint endpoint) {
    return endpoint.removeAt > 0 && now >= endpoint.removeAt;
  }

  /**
   * Removes endpoints that are no longer listed. If their registrations have probably expired in an
   * outage, they stay for a grace period in which they can register again. If no outage is known,
   * they may have left instead, and calls go to them only if the others have no room.
   */
  private void handleMissing(long now, Set<String> listedIds) {
    int missing = 0;
    for (Endpoint endpoint : byId.values()) {
      if (listedIds.contains(endpoint.spec.id())) {
        endpoint.removeAt = 0;
        endpoint.missingWithMany = false;
      } else {
        missing++;
      }
    }
    boolean afterOutage = now < recoveryGraceUntil;
    boolean probablyExpired =
        afterOutage
            || missing >= MASS_EXPIRY_MIN_COUNT && missing >= MASS_EXPIRY_MIN_SHARE * byId.size();
    for (Endpoint endpoint : List.copyOf(byId.values())) {
      if (listedIds.contains(endpoint.spec.id())) {
        continue;
      }
      if (!probablyExpired && endpoint.removeAt == 0) {
        remove(now, endpoint);
      } else if (endpoint.removeAt == 0) {
        endpoint.removeAt = now + RELISTING_GRACE_MILLIS;
        endpoint.missingWithMany = !afterOutage;
      }
    }
  }

  private void rebuildServiceIndex() {
    byService.clear();
    for (Endpoint endpoint : byId.values()) {
      byService.computeIfAbsent(endpoint.spec.service(), s -> new ArrayList<>()).add(endpoint);
    }
  }

  /**
   * Chooses the endpoint with the lowest score among those that can accept a call now; see {@link
   * EndpointScores}.
   *
   * @return the chosen endpoint, if any, and the number of eligible endpoints
   */
  Choice choose(long now, Requirements requirements) {
    List<Endpoint> listed = new ArrayList<>();
    List<Endpoint> missing = new ArrayList<>(0);
    for (Endpoint endpoint : byService.getOrDefault(requirements.service().name(), List.of())) {
      if (isSelectable(now, endpoint, requirements)) {
        (endpoint.missingWithMany ? missing : listed).add(endpoint);
      }
    }
    Choice choice = chooseHealthy(now, requirements, listed);
    if (choice.endpoint().isPresent() || missing.isEmpty()) {
      return choice;
    }
    Choice last = chooseHealthy(now, requirements, missing);
    return new Choice(
        last.endpoint(), choice.eligibleCount() + last.eligibleCount(), last.savedMillis());
  }

  /** Chooses an endpoint in backoff only if none of the selectable ones is healthy. */
  private Choice chooseHealthy(long now, Requirements requirements, List<Endpoint> selectable) {
    List<Endpoint> healthy = new ArrayList<>(selectable.size());
    for (Endpoint endpoint : selectable) {
      if (now >= endpoint.avoidUntil) {
        healthy.add(endpoint);
      }
    }
    return chooseLeastLoaded(now, requirements, healthy.isEmpty() ? selectable : healthy);
  }

  private Choice chooseLeastLoaded(long now, Requirements requirements, List<Endpoint> candidates) {
    PrefixSaving saving = scores.savingOf(requirements);
    Endpoint best = null;
    double lowestScore = Double.MAX_VALUE;
    for (Endpoint endpoint : candidates) {
      boolean tried = requirements.triedEndpoints().contains(endpoint.spec.id());
      if (tried
          || requirements.excludesAsSilent(endpoint)
          || endpoint.isCold(now) && !hasColdCapacity(now, endpoint, requirements)
          || !limits.permits(now, endpoint)
          || !notices.permits(endpoint)) {
        continue;
      }
      double load = endpoint.estimateLoad(now, entries.foundCount());
      double score = scores.score(now, endpoint, load, saving, requirements.spread());
      if (load < requirements.maxLoadPerSlot() * endpoint.spec.slots() && score < lowestScore) {
        lowestScore = score;
        best = endpoint;
      }
    }
    double savedMillis = best == null ? 0 : saving.millis(now, best.prefixCache, best.version);
    return new Choice(Optional.ofNullable(best), candidates.size(), savedMillis);
  }

  /**
   * Explains for each endpoint of a service how {@link #choose} would see it for a new call.
   * Changes nothing.
   *
   * @return the endpoints that can take the call first, each group by score
   */
  List<CandidateExplanation> explain(long now, Requirements requirements) {
    List<Endpoint> listed = new ArrayList<>();
    List<Endpoint> missing = new ArrayList<>(0);
    for (Endpoint endpoint : byService.getOrDefault(requirements.service().name(), List.of())) {
      (endpoint.missingWithMany ? missing : listed).add(endpoint);
    }
    List<CandidateExplanation> explanations = explain(now, requirements, listed, false);
    boolean hasRoom = explanations.stream().anyMatch(c -> c.exclusion() == Exclusion.NONE);
    explanations.addAll(explain(now, requirements, missing, hasRoom));
    explanations.sort(
        Comparator.comparing((CandidateExplanation c) -> c.exclusion() != Exclusion.NONE)
            .thenComparingDouble(CandidateExplanation::score));
    return explanations;
  }

  /**
   * Explains the endpoints of a group, of which those in backoff come last.
   *
   * @param skipped whether none of them is used because others have room
   */
  private List<CandidateExplanation> explain(
      long now, Requirements requirements, List<Endpoint> group, boolean skipped) {
    boolean skipsBackoff =
        group.stream().anyMatch(e -> isSelectable(now, e, requirements) && now >= e.avoidUntil);
    PrefixSaving saving = scores.savingOf(requirements);
    List<CandidateExplanation> explanations = new ArrayList<>(group.size());
    for (Endpoint endpoint : group) {
      double load = endpoint.estimateLoad(now, entries.foundCount());
      Exclusion exclusion = exclusionOf(now, endpoint, requirements, load, skipsBackoff);
      explanations.add(
          new CandidateExplanation(
              endpoint.spec.id(),
              endpoint.spec.domain(),
              endpoint.spec.slots(),
              endpoint.version,
              load,
              endpoint.speed.slowdown(now),
              saving.millis(now, endpoint.prefixCache, endpoint.version),
              scores.score(now, endpoint, load, saving, requirements.spread()),
              skipped && exclusion == Exclusion.NONE ? Exclusion.NOT_LISTED : exclusion));
    }
    return explanations;
  }

  /** Returns why an endpoint cannot take a new call, in the order of the checks of a choice. */
  private Exclusion exclusionOf(
      long now, Endpoint endpoint, Requirements requirements, double load, boolean skipsBackoff) {
    if (!isEligible(now, endpoint, requirements)) {
      return ineligibilityOf(now, endpoint, requirements);
    }
    if (endpoint.isSwitchingVersion(now)) {
      return Exclusion.SWITCHING_WEIGHTS;
    }
    if (skipsBackoff && now < endpoint.avoidUntil) {
      return Exclusion.BACKOFF;
    }
    if (endpoint.isCold(now) && !hasColdCapacity(now, endpoint, requirements)) {
      return Exclusion.COLD;
    }
    if (!limits.permits(now, endpoint)) {
      return Exclusion.LIMIT;
    }
    if (!notices.permits(endpoint)) {
      return Exclusion.TRIAL_AFTER_PAUSE;
    }
    return load < requirements.maxLoadPerSlot() * endpoint.spec.slots()
        ? Exclusion.NONE
        : Exclusion.FULL;
  }

  /** Returns why an endpoint is not eligible for a new call. */
  private Exclusion ineligibilityOf(long now, Endpoint endpoint, Requirements requirements) {
    if (isExpired(now, endpoint)) {
      return Exclusion.NOT_LISTED;
    }
    if (notices.excludes(now, endpoint)) {
      return Exclusion.PAUSED;
    }
    if (endpoint.spec.draining()) {
      return Exclusion.DRAINING;
    }
    if (evacuatedDomains.contains(endpoint.spec.domain())) {
      return Exclusion.DOMAIN_EVACUATED;
    }
    if (!requirements.regions().isEmpty()
        && !requirements.regions().contains(endpoint.spec.region())) {
      return Exclusion.REGION;
    }
    return endpoint.version > 0 ? Exclusion.OLD_WEIGHTS : Exclusion.NO_WEIGHTS;
  }

  /** Records a failure or timeout of an endpoint and starts its backoff. */
  void recordFailure(long now, Endpoint endpoint) {
    endpoint.failureCount = Math.min(MAX_COUNTED_FAILURES, endpoint.failureCount + 1);
    endpoint.avoidUntil = now + (long) (INITIAL_BACKOFF_MILLIS * (1 << endpoint.failureCount - 1));
  }

  /** Records that an endpoint has sent nothing for an attempt for long. */
  void recordStall(long now, Endpoint endpoint) {
    endpoint.stalled = true;
    recordFailure(now, endpoint);
  }

  /** Records that data was received from an endpoint, which ends its backoff. */
  void recordActivity(long now, Endpoint endpoint) {
    endpoint.lastReceivedAt = now;
    endpoint.stalled = false;
    endpoint.failureCount = 0;
    endpoint.avoidUntil = 0;
  }

  /**
   * Returns the earliest time at which an endpoint that could serve a call but for the pause that
   * it asked for takes calls again; empty if none is paused.
   */
  Optional<Long> earliestPauseEnd(long now, Requirements requirements) {
    long earliest = NEVER;
    for (Endpoint endpoint : byService.getOrDefault(requirements.service().name(), List.of())) {
      long pausedUntil = notices.pausedUntil(endpoint);
      if (pausedUntil > now && isEligible(now, endpoint, requirements, pausedUntil)) {
        earliest = Math.min(earliest, pausedUntil);
      }
    }
    return earliest == NEVER ? Optional.empty() : Optional.of(earliest);
  }

  /** Returns whether an endpoint is eligible and its engine is not about to load other weights. */
  private boolean isSelectable(long now, Endpoint endpoint, Requirements requirements) {
    return isEligible(now, endpoint, requirements) && !endpoint.isSwitchingVersion(now);
  }

  private boolean isEligible(long now, Endpoint endpoint, Requirements requirements) {
    return isEligible(now, endpoint, requirements, now);
  }

  /**
   * Returns whether an endpoint may serve a call, with or without a free slot.
   *
   * @param noticesAt time for which what the endpoint said of itself counts
   */
  private boolean isEligible(
      long now, Endpoint endpoint, Requirements requirements, long noticesAt) {
    if (isExpired(now, endpoint) || notices.excludes(noticesAt, endpoint)) {
      return false;
    }
    if (endpoint.spec.draining() || evacuatedDomains.contains(endpoint.spec.domain())) {
      return false;
    }
    if (!requirements.regions().isEmpty()
        && !requirements.regions().contains(endpoint.spec.region())) {
      return false;
    }
    if (requirements.service().engine().isEmpty()) {
      return true;
    }
    return endpoint.version > 0
        && endpoint.version >= requirements.minVersionOf(endpoint)
        && requirements.matchesExactVersion(endpoint.version);
  }

  /** Returns whether this entry's share of the limit of a cold endpoint allows another call. */
  private boolean hasColdCapacity(long now, Endpoint endpoint, Requirements requirements) {
    double limit = requirements.service().coldCallsPerSecond();
    double allowedCalls = limit * options.coldOverrunFactor() + options.coldAllowance();
    int sharedCalls = (int) Math.floor(allowedCalls * COLD_LIMIT_SAFETY_FACTOR);
    return endpoint.recentDispatches.count(now, COLD_WINDOW_MILLIS)
        < entries.shareOf(sharedCalls, endpoint.spec.id());
  }

  /**
   * Requirements of a call on its endpoint.
   *
   * @param service service that the endpoint must belong to
   * @param regions regions that the endpoint may be in; empty for all
   * @param minVersion minimum version of the weights
   * @param stalledMinVersion minimum version of the weights at endpoints that did not respond in
   *     time lately, to which a call may be on its way for long
   * @param exactVersion version of the weights that a started stream needs, 0 if it has not started
   * @param maxLoadPerSlot load per slot that the endpoint must be below
   * @param triedEndpoints endpoints that the call was sent to before
   * @param respondingSince time since which an endpoint with calls of this entry must have sent
   *     data; 0 for any endpoint
   * @param spread whether entries that see the same load choose different endpoints
   * @param call the call
   */
  record Requirements(
      ServiceSpec service,
      Set<String> regions,
      long minVersion,
      long stalledMinVersion,
      long exactVersion,
      double maxLoadPerSlot,
      Set<String> triedEndpoints,
      long respondingSince,
      boolean spread,
      CallSpec call) {

    /** Returns these requirements without endpoints that have been silent since a time. */
    Requirements respondingSince(long time) {
      return new Requirements(
          service,
          regions,
          minVersion,
          stalledMinVersion,
          exactVersion,
          maxLoadPerSlot,
          triedEndpoints,
          time,
          spread,
          call);
    }

    long minVersionOf(Endpoint endpoint) {
      return endpoint.stalled ? Math.max(minVersion, stalledMinVersion) : minVersion;
    }

    boolean excludesAsSilent(Endpoint endpoint) {
      return endpoint.ownCalls > 0 && endpoint.lastReceivedAt < respondingSince;
    }

    boolean matchesExactVersion(long offered) {
      return exactVersion == 0 || exactVersion == offered;
    }
  }

  /**
   * Result of a selection.
   *
   * @param endpoint chosen endpoint, empty if none can accept the call now
   * @param eligibleCount number of endpoints that may serve the call, with or without a free slot
   * @param savedMillis time that the call saves there by its cached prompt prefix, 0 if none
   */
  record Choice(Optional<Endpoint> endpoint, int eligibleCount, double savedMillis) {}

  /** The latest report of an agent on its engine, with the time at which it was received. */
  private record SwitchReport(WeightsSwitch weightsSwitch, long receivedAt) {}
}
