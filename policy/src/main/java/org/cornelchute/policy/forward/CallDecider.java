package org.cornelchute.policy.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.cornelchute.core.log.Decision;
import org.cornelchute.core.model.OpenCalls;
import org.cornelchute.policy.crash.CrashEvidence;
import org.cornelchute.policy.crash.CrashEvidence.PartChange;
import org.cornelchute.policy.forward.EndpointPool.Choice;
import org.cornelchute.policy.forward.EndpointPool.Requirements;
import org.cornelchute.policy.forward.OtherEntries.Availability;
import org.cornelchute.policy.forward.RouteSpec.WeightedService;

/**
 * Decides on the calls of one entry and gives each call exactly one final response.
 *
 * <p>The duty reports whether any bytes of a failed attempt may have reached the endpoint. A call
 * is rejected as not executed only if no attempt can have executed it. A call is retried only if
 * its route is retryable or the failed attempt is known not to have executed it, within the maximum
 * attempts of the route and this entry's share of the retry budget of the service.
 */
public final class CallDecider {

  /** Time without data from the endpoint after which a stream is retried on another endpoint. */
  private static final long STREAM_IDLE_TIMEOUT_MILLIS = 900;

  /** Time from the start of a response from which on its end is not taken for a crash. */
  private static final long MIN_SERVICE_MILLIS = 1_000;

  /** Minimum remaining time for a retry; with less, it is unlikely to complete in time. */
  private static final long MIN_RETRY_TIME_MILLIS = 60;

  private static final long MAX_REPORTED_AGE_MILLIS = 86_400_000;
  private static final int STATUS_OK = 200;
  private static final int STATUS_MULTIPLE_CHOICES = 300;
  private static final int STATUS_INTERNAL_SERVER_ERROR = 500;

  /** Load per slot up to which endpoints of plain services accept calls. */
  private static final double MAX_LOAD_PER_SLOT = 1.0;

  /**
   * Load per slot up to which engines accept calls. Lower than for plain services because
   * concurrent calls slow each other down and the load from other entries is only estimated.
   */
  private static final double ENGINE_MAX_LOAD_PER_SLOT = 0.95;

  /**
   * Load per slot up to which endpoints accept new calls that are expected to miss their target
   * latency. The remaining slots are reserved for calls that can still meet it.
   */
  private static final double LATE_CALL_MAX_LOAD_PER_SLOT = 0.6;

  /** Load per slot up to which endpoints accept retries. */
  private static final double RETRY_MAX_LOAD_PER_SLOT = 1.25;

  /** Fraction of the time left to the target latency that a call may spend in the queue. */
  private static final double MAX_QUEUE_TIME_SHARE = 0.5;

  /** Time left to the target latency below which a new call is expected to miss it. */
  private static final long MIN_REMAINING_TARGET_MILLIS = 60;

  /**
   * Difference to the longest deadline of the route up to which a call counts as the first try of
   * its caller.
   */
  private static final long DEADLINE_TOLERANCE_MILLIS = 100;

  private final CallOptions options;
  private final EndpointPool endpointPool;
  private final Freshness freshness = new Freshness();
  private final OtherEntries otherEntries;
  private final VersionGate versionGate;
  private final RetryBudget retryBudget;
  private final CrashEvidence crashEvidence;
  private final Random random;
  private final RetryAfter retryAfter;
  private final Map<Long, Call> calls = new LinkedHashMap<>();
  private final List<Call> queue = new ArrayList<>();
  private final Map<String, Long> longestDeadlineByRoute = new HashMap<>();
  private ServingConfig config = ServingConfig.EMPTY;

  /**
   * Creates a decider without configuration and endpoints.
   *
   * @param startedAt time at which the process started
   */
  public CallDecider(CallOptions options, long seed, long startedAt) {
    this.options = options;
    this.endpointPool = new EndpointPool(options);
    this.otherEntries = new OtherEntries(startedAt);
    this.versionGate = new VersionGate();
    this.retryBudget =
        new RetryBudget(
            options.retryRatio(), options.retryAllowance(), options.retryWindowMillis(), startedAt);
    this.crashEvidence = new CrashEvidence(options.self());
    this.random = new Random(seed);
    this.retryAfter = new RetryAfter(random);
  }

  // Accessors

  /** Returns the number of calls that have no final response yet. */
  public int openCallCount() {
    return calls.size();
  }

  /** Returns whether a configuration has been received and the endpoints are known. */
  public boolean isReady(long now) {
    return config.version() > 0 && endpointPool.isKnown(now);
  }

  /** Returns the current configuration, never null. */
  public ServingConfig config() {
    return config;
  }

  // Cached state

  /**
   * Records that no earlier process ran under the name of this entry, so that none can have spent
   * its shares of limits. Until then, an earlier one is assumed.
   */
  public void recordFirstStart() {
    retryBudget.recordFirstStart();
  }

  /** Replaces the configuration if the offered version is newer; otherwise does nothing. */
  public void updateConfig(ServingConfig offered) {
    if (offered.version() > config.version()) {
      config = offered;
    }
  }

  /** Replaces the list of endpoints with the complete list from the directory. */
  public void updateEndpoints(long now, Collection<EndpointSpec> endpoints) {
    endpointPool.updateEndpoints(now, endpoints);
  }

  /** Records that the directory of endpoints is available again after an outage. */
  public void onDirectoryRecovered(long now) {
    endpointPool.onDirectoryRecovered(now);
  }

  /** Replaces the set of failure domains that receive no calls. */
  public void updateEvacuatedDomains(Set<String> domains) {
    endpointPool.updateEvacuatedDomains(domains);
  }

  /**
   * Records when a version of a model's weights that operators published was first seen by any
   * entry, between two bounds.
   */
  public void recordVersion(long earliestAt, long latestAt, String model, long version) {
    versionGate.recordSighting(earliestAt, latestAt, model, version);
  }

  /**
   * Records a version whose first sighting by any entry is not known yet.
   *
   * <p>It cannot have been assigned before the last confirmation of the cached state, which did not
   * hold it, and is taken to be that old until {@link #recordVersion} tells its sighting. A process
   * that has no confirmation, since it has just started or was suspended, requires it at once.
   */
  public void recordVersionOfUnknownAge(long now, String model, long version) {
    versionGate.recordUnconfirmed(freshness.confirmedAt(), now, model, version);
  }

  /** Records the weights switches that agents report, by host. */
  public void updateWeightsSwitches(long now, Map<String, WeightsSwitch> switchByHost) {
    endpointPool.updateWeightsSwitches(now, switchByHost);
  }

  /**
   * Records the list of entries that send calls to the same endpoints. Limits are shared among all
   * entries that were ever listed.
   */
  public void updateEntries(Collection<String> names) {
    endpointPool.updateEntries(names);
    crashEvidence.updateEntries(endpointPool.entryNames());
  }

  /** Returns the evidence on parts of prompts that crash endpoints, shared by all entries. */
  public CrashEvidence crashEvidence() {
    return crashEvidence;
  }

  /** Returns the limits that endpoints name, shared by all entries. */
  public EndpointLimits endpointLimits() {
    return endpointPool.limits();
  }

  /** Returns the open calls of this entry per endpoint, to be reported to the other entries. */
  public List<OpenCalls> openCalls() {
    return endpointPool.openCalls();
  }

  /**
   * Records a report from another entry.
   *
   * @param ageMillis time since the store last confirmed the configuration of that entry
   * @param open open calls of that entry per endpoint
   */
  public void recordEntryReport(long now, String entry, long ageMillis, List<OpenCalls> open) {
    otherEntries.recordReport(now, entry, ageMillis);
    endpointPool.recordEntryReport(now, entry, open);
  }

  /**
   * Returns the time since the store last confirmed the configuration, capped at one day; one day
   * if this entry is not ready, so that the other entries send no callers here.
   */
  public long configAgeMillis(long now) {
    return isReady(now)
        ? Math.min(freshness.ageMillis(now), MAX_REPORTED_AGE_MILLIS)
        : MAX_REPORTED_AGE_MILLIS;
  }

  /**
   * Returns whether callers should use other entries. This is the case if the keys or routes of
   * this entry are too old to accept calls and another entry can probably accept them.
   */
  public boolean shouldDivertCalls(long now) {
    return config.requiresKeys()
        ? freshness.ageMillis(now) > options.maxKeyAgeMillis()
            && otherAvailability(now) == Availability.LIKELY
        : isSuperseded(now);
  }

  private Availability otherAvailability(long now) {
    return otherEntries.availability(
        now,
        options.maxKeyAgeMillis(),
        endpointPool.isEntryListKnown(),
        endpointPool.entryCount() - 1);
  }

  /** Returns whether a route is bound to regions that were not confirmed recently enough. */
  private boolean hasOldRegions(RouteSpec route, long ageMillis) {
    return !route.regions().isEmpty() && ageMillis > options.maxKeyAgeMillis();
  }

  /**
   * Returns whether routes and regions of the configuration may have changed, while another entry
   * may be able to serve calls by the current ones. In an outage of the store for all entries, the
   * configuration cannot change.
   */
  private boolean isSuperseded(long now) {
    return freshness.ageMillis(now) > options.maxKeyAgeMillis()
        && endpointPool.sharingEntryCount() > 1
        && otherAvailability(now) != Availability.UNLIKELY;
  }

  /**
   * Records that configuration and failure domains match the store.
   *
   * @param requestedAt time at which the request to the store was sent
   */
  public void recordConfirmation(long requestedAt) {
    freshness.confirm(requestedAt);
  }

  /**
   * Compares the monotonic clock with the wall clock to detect a suspension of the process; see
   * {@link Freshness}.
   *
   * @return whether the process was suspended, so that cached state must be confirmed again
   */
  public boolean detectSuspension(long now, long wallMillis) {
    boolean suspended = freshness.detectSuspension(now, wallMillis);
    if (suspended) {
      versionGate.invalidate(freshness.confirmedAt());
    }
    return suspended;
  }

  // Call events

  /** Handles a new call. */
  public List<CallEffect> onCall(long now, CallSpec spec) {
    List<CallEffect> effects = new ArrayList<>(3);
    long ageMillis = freshness.ageMillis(now);
    if (!isReady(now)) {
      String missing = config.version() > 0 ? "endpoints are not known" : "no configuration";
      rejectOnArrival(now, effects, spec, Rejection.NOT_READY, missing + " yet", ageMillis);
      return effects;
    }
    Optional<RouteSpec> route = config.findRoute(spec.host(), spec.path());
    if (route.isEmpty()) {
      rejectAsUnknown(
          now, effects, spec, Rejection.UNKNOWN_ROUTE, "no route matches host and path", ageMillis);
      return effects;
    }
    WorkspaceSpec workspace = null;
    if (config.requiresKeys() && !route.get().anonymous()) {
      Optional<WorkspaceSpec> found = config.findWorkspace(spec.key());
      if (found.isEmpty()) {
        rejectAsUnknown(
            now, effects, spec, Rejection.UNKNOWN_KEY, "key belongs to no workspace", ageMillis);
        return effects;
      }
      if (ageMillis > options.maxKeyAgeMillis()) {
        rejectOnArrival(
            now, effects, spec, Rejection.NOT_READY, "keys are not confirmed", ageMillis);
        return effects;
      }
      workspace = found.get();
    } else if (isSuperseded(now) || hasOldRegions(route.get(), ageMillis)) {
      rejectOnArrival(
          now, effects, spec, Rejection.NOT_READY, "configuration is not confirmed", ageMillis);
      return effects;
    }
    Optional<ServiceSpec> service = pickService(route.get());
    if (service.isEmpty()) {
      rejectOnArrival(
          now,
          effects,
          spec,
          Rejection.NO_ENDPOINT,
          "route refers to an unknown service",
          ageMillis);
      return effects;
    }
    Call call =
        new Call(
            spec,
            route.get(),
            service.get(),
            workspace,
            allowedRegions(route.get(), workspace),
            estimateEarlierWait(route.get(), spec),
            now);
    calls.put(spec.number(), call);
    retryBudget.recordCall(now, call.service.name());
    dispatchOrQueue(
        now,
        effects,
        call,
        call.remainingTargetMillis(now) < MIN_REMAINING_TARGET_MILLIS
            ? LATE_CALL_MAX_LOAD_PER_SLOT
            : maxLoadPerSlot(call));
    return effects;
  }

  /** Handles the head of a response from an endpoint. */
  public List<CallEffect> onResponseHead(long now, long number, int attempt, ResponseHead head) {
    List<CallEffect> effects = new ArrayList<>(3);
    Call call = findAttempt(number, attempt);
    if (call == null) {
      return effects;
    }
    call.lastProgressAt = now;
    Endpoint endpoint = call.endpoint;
    endpointPool.recordActivity(now, endpoint);
    if (head.running() >= 0) {
      endpoint.recordLoad(now, head.running(), head.queued());
    }
    if (head.version() > 0) {
      endpoint.version = head.version();
    }
    recordNamedLimit(now, effects, endpoint, head.limit());
    if (head.notExecuted() || head.instanceMismatch()) {
      handleEndpointRefusal(now, effects, call, head);
    } else if (head.status() >= STATUS_INTERNAL_SERVER_ERROR
        && !call.streaming
        && canRetryNow(now, call)) {
      effects.add(new CallEffect.CancelAttempt(number, attempt));
      call.mayHaveExecuted = true;
      retryOrReject(now, effects, call, "endpoint responded with status " + head.status());
    } else if (head.status() >= STATUS_OK
        && head.status() < STATUS_MULTIPLE_CHOICES
        && !head.signed()) {
      effects.add(new CallEffect.CancelAttempt(number, attempt));
      call.mayHaveExecuted = true;
      handleLostResponse(now, effects, call, "success response without signature of the endpoint");
    } else if (head.status() >= STATUS_OK && head.status() < STATUS_MULTIPLE_CHOICES) {
      call.begunAt = now;
      call.endsOnClose = head.endsOnClose();
      if (call.route.kind() == CallKind.STREAM) {
        call.streaming = true;
        call.streamVersion = head.version();
        effects.add(new CallEffect.StartStream(number, attempt));
      }
    } else if (call.streaming) {
      abortResponse(effects, call, "endpoint did not resume the stream, status " + head.status());
    }
    dispatchQueued(now, effects);
    return effects;
  }

  /** Records that stream events up to {@code lastEventId} were delivered to the caller. */
  public void onResponseProgress(long now, long number, int attempt, long lastEventId) {
    Call call = findAttempt(number, attempt);
    if (call != null) {
      call.lastProgressAt = now;
      call.lastEventId = Math.max(call.lastEventId, lastEventId);
      call.endpoint.lastReceivedAt = now;
    }
  }

  /** Handles the end of a complete response from an endpoint. */
  public List<CallEffect> onResponseEnd(long now, long number, int attempt) {
    List<CallEffect> effects = new ArrayList<>(2);
    Call call = findAttempt(number, attempt);
    if (call != null) {
      if (provesService(now, call)) {
        crashEvidence.recordServed(call.begunAt, call.spec.sharedParts());
        reportPartChanges(now, effects);
      }
      effects.add(new CallEffect.Complete(number, attempt));
      log(effects, "answered", call, "ms=" + (now - call.arrivedAt));
      remove(call);
      dispatchQueued(now, effects);
    }
    return effects;
  }

  /**
   * Handles an attempt that ended without a complete response.
   *
   * @param sent whether any bytes of the attempt may have reached the endpoint
   */
  public List<CallEffect> onAttemptFailure(
      long now, long number, int attempt, boolean sent, String reason) {
    List<CallEffect> effects = new ArrayList<>(3);
    Call call = findAttempt(number, attempt);
    if (call == null) {
      return effects;
    }
    endpointPool.recordFailure(now, call.endpoint);
    if (!sent) {
      call.sentAttempts--;
      retryOrReject(now, effects, call, reason);
      return effects;
    }
    call.mayHaveExecuted = true;
    logBrokenAttempt(effects, call, reason);
    if (call.hasBegun()) {
      crashEvidence.recordCrash(now, call.endpoint.incarnation(), call.spec.sharedParts());
      reportPartChanges(now, effects);
    }
    handleLostResponse(now, effects, call, reason);
    dispatchQueued(now, effects);
    return effects;
  }

  /** Handles the disconnect of a caller before its final response. */
  public List<CallEffect> onCallerDisconnect(long now, long number) {
    List<CallEffect> effects = new ArrayList<>(2);
    Call call = calls.get(number);
    if (call != null) {
      if (call.endpoint != null) {
        effects.add(new CallEffect.CancelAttempt(number, call.attempt));
      }
      log(effects, "gone", call, "caller disconnected after ms=" + (now - call.arrivedAt));
      remove(call);
      dispatchQueued(now, effects);
    }
    return effects;
  }

  /**
   * Ends calls that exceeded their deadline or queue time, retries calls that stalled or still wait
   * for an endpoint with superseded weights, and dispatches queued calls.
   */
  public List<CallEffect> sweep(long now) {
    List<CallEffect> effects = new ArrayList<>();
    endpointPool.removeExpired(now);
    reportPartChanges(now, effects);
    for (Call call : new ArrayList<>(calls.values())) {
      if (now >= call.deadline) {
        expire(now, effects, call);
      } else if (call.queuedUntil > 0) {
        if (now >= call.queuedUntil) {
          reject(
              now,
              effects,
              call,
              Rejection.OVERLOADED,
              "no free slot within " + (now - call.arrivedAt) + " ms");
        }
      } else if (!call.streaming && isOutdated(now, call)) {
        effects.add(new CallEffect.CancelAttempt(call.spec.number(), call.attempt));
        call.mayHaveExecuted = true;
        handleLostResponse(
            now, effects, call, "endpoint still holds superseded version " + call.endpoint.version);
      } else if (call.route.isRetryable() && isStalled(now, call)) {
        endpointPool.recordFailure(now, call.endpoint);
        if (mayRetry(now, call)) {
          effects.add(new CallEffect.CancelAttempt(call.spec.number(), call.attempt));
          call.mayHaveExecuted = true;
          retryOrReject(
              now,
              effects,
              call,
              "no data from the endpoint for " + (now - call.endpoint.lastReceivedAt) + " ms");
        }
      }
    }
    dispatchQueued(now, effects);
    return effects;
  }

  // Attempts

  /** Dispatches queued calls in order of priority while endpoints have capacity. */
  private void dispatchQueued(long now, List<CallEffect> effects) {
    Set<String> saturatedServices = new HashSet<>();
    for (Call call : List.copyOf(queue)) {
      if (saturatedServices.contains(call.service.name()) || call.queuedUntil == 0) {
        continue;
      }
      Choice choice = chooseEndpoint(now, call, maxLoadPerSlot(call));
      if (choice.endpoint().isPresent()) {
        queue.remove(call);
        call.queuedUntil = 0;
        dispatch(now, effects, call, choice);
      } else {
        saturatedServices.add(call.service.name());
      }
    }
  }

  private static double maxLoadPerSlot(Call call) {
    return call.service.engine().isPresent() ? ENGINE_MAX_LOAD_PER_SLOT : MAX_LOAD_PER_SLOT;
  }

  /**
   * Queues a call that was not sent yet if it can still meet its target latency afterwards.
   *
   * <p>Calls to engines are not queued. The first event of an engine takes most of the target
   * latency, so a queued call would miss its target and occupy the slot of a call that would not.
   *
   * @return whether the call was queued
   */
  private boolean tryEnqueue(long now, Call call) {
    long maxWait = (long) (call.remainingTargetMillis(now) * MAX_QUEUE_TIME_SHARE);
    if (maxWait <= 0 || call.sentAttempts > 0 || call.service.engine().isPresent()) {
      return false;
    }
    call.queuedUntil = now + maxWait;
    int index = queue.size();
    while (index > 0 && queue.get(index - 1).priority() > call.priority()) {
      index--;
    }
    queue.add(index, call);
    return true;
  }

  private void dispatchOrQueue(long now, List<CallEffect> effects, Call call, double maxLoad) {
    if (crashEvidence.isBlocked(now, call.spec.sharedParts())) {
      reject(now, effects, call, Rejection.BLOCKED_PROMPT, "parts=" + formatParts(call));
      return;
    }
    Choice choice = chooseEndpoint(now, call, maxLoad);
    if (choice.endpoint().isPresent()) {
      dispatch(now, effects, call, choice);
    } else if (lacksOnlyVersionAge(now, call, maxLoad)) {
      reject(now, effects, call, Rejection.NOT_READY, "age of the weights version is not known");
    } else if (endpointPool.mayLackEndpoints(now, call.service.name())) {
      reject(now, effects, call, Rejection.NOT_READY, "endpoints of the service are not known yet");
    } else if (choice.eligibleCount() == 0) {
      reject(now, effects, call, Rejection.NO_ENDPOINT, "no endpoint is eligible");
    } else if (!tryEnqueue(now, call)) {
      reject(
          now,
          effects,
          call,
          Rejection.OVERLOADED,
          "no endpoint has a free slot, allowed=" + choice.eligibleCount());
    }
  }

  private Choice chooseEndpoint(long now, Call call, double maxLoad) {
    return chooseEndpoint(now, call, maxLoad, requiredVersion(now, call));
  }

  private Choice chooseEndpoint(long now, Call call, double maxLoad, long minVersion) {
    long version = call.streaming ? call.streamVersion : 0;
    return endpointPool.choose(
        now,
        new Requirements(
            call.service, call.regions, minVersion, version, maxLoad, call.triedEndpoints));
  }

  private long requiredVersion(long now, Call call) {
    return call.service
        .engine()
        .map(e -> versionGate.requiredVersion(now, e.model(), options.versionGraceMillis()))
        .orElse(0L);
  }

  /**
   * Returns whether an endpoint could accept the call if the newest versions turn out to be as
   * young as possible. Another entry may know their age.
   */
  private boolean lacksOnlyVersionAge(long now, Call call, double maxLoad) {
    if (call.service.engine().isEmpty()) {
      return false;
    }
    long certain =
        versionGate.certainVersion(
            now, call.service.engine().get().model(), options.versionGraceMillis());
    return certain < requiredVersion(now, call)
        && chooseEndpoint(now, call, maxLoad, certain).endpoint().isPresent();
  }

  private void dispatch(long now, List<CallEffect> effects, Call call, Choice choice) {
    Endpoint endpoint = choice.endpoint().get();
    call.endpoint = endpoint;
    call.attempt++;
    call.begunAt = 0;
    call.sentAttempts++;
    call.dispatchedAt = now;
    call.lastProgressAt = now;
    call.triedEndpoints.add(endpoint.spec.id());
    endpoint.ownCalls++;
    endpoint.recentDispatches.add(now);
    crashEvidence.recordDispatch(now, call.spec.sharedParts());
    long remaining = call.deadline - now;
    long expectedVersion = requiredVersion(now, call) > 0 || call.streaming ? endpoint.version : 0;
    // The entries share the connection limit of the endpoint, of which 10% stays in reserve.
    int maxConnections =
        Math.max(2, call.service.maxConnections() * 9 / 10 / endpointPool.sharingEntryCount());
    effects.add(
        new CallEffect.Dispatch(
            call.spec.number(),
            call.attempt,
            endpoint.spec,
            maxConnections,
            remaining,
            call.priority(),
            call.workspace == null ? "" : call.workspace.name(),
            expectedVersion,
            call.lastEventId));
    log(
        effects,
        "route",
        call,
        "load="
            + round(endpoint.estimateLoad(now, endpointPool.entryCount()))
            + " allowed="
            + choice.eligibleCount());
  }

  private void handleEndpointRefusal(
      long now, List<CallEffect> effects, Call call, ResponseHead head) {
    effects.add(new CallEffect.CancelAttempt(call.spec.number(), call.attempt));
    endpointPool.recordFailure(now, call.endpoint);
    retryOrReject(now, effects, call, "endpoint refused the call with status " + head.status());
  }

  private void handleLostResponse(long now, List<CallEffect> effects, Call call, String reason) {
    if (mayRetry(now, call)) {
      retryOrReject(now, effects, call, reason);
    } else if (call.streaming) {
      abortResponse(effects, call, reason);
    } else {
      reject(now, effects, call, Rejection.ANSWER_LOST, reason);
    }
  }

  /** Retries a call if attempts, remaining time and retry budget allow; otherwise rejects it. */
  private void retryOrReject(long now, List<CallEffect> effects, Call call, String reason) {
    boolean countsAsRetry = call.sentAttempts > 0;
    releaseEndpoint(call);
    log(effects, "again", call, reason);
    if (call.sentAttempts >= call.route.maxAttempts()
        || call.deadline - now < MIN_RETRY_TIME_MILLIS) {
      reject(
          now,
          effects,
          call,
          Rejection.OVERLOADED,
          "no attempts or time left for a retry: " + reason);
    } else if (countsAsRetry
        && !retryBudget.trySpend(now, call.service.name(), endpointPool.sharingEntryCount())) {
      reject(now, effects, call, Rejection.OVERLOADED, "retry budget exhausted: " + reason);
    } else {
      dispatchOrQueue(now, effects, call, RETRY_MAX_LOAD_PER_SLOT);
    }
  }

  private boolean mayRetry(long now, Call call) {
    return call.route.isRetryable()
        && call.sentAttempts < call.route.maxAttempts()
        && call.deadline - now >= MIN_RETRY_TIME_MILLIS
        && !crashEvidence.isSuspect(now, call.spec.sharedParts());
  }

  /** Returns whether a call may be retried and another endpoint can take it at once. */
  private boolean canRetryNow(long now, Call call) {
    return mayRetry(now, call)
        && retryBudget.allows(now, call.service.name(), endpointPool.sharingEntryCount())
        && chooseEndpoint(now, call, RETRY_MAX_LOAD_PER_SLOT).endpoint().isPresent();
  }

  /** Returns whether the endpoint of a call holds weights that calls may no longer start on. */
  private boolean isOutdated(long now, Call call) {
    long required =
        call.service
            .engine()
            .map(e -> versionGate.cutoffVersion(now, e.model(), options.versionCutoffMillis()))
            .orElse(0L);
    return call.endpoint.version < required;
  }

  private static boolean isStalled(long now, Call call) {
    long lastDataAt = Math.max(call.endpoint.lastReceivedAt, call.dispatchedAt);
    return call.route.kind() == CallKind.STREAM
        && now - call.lastProgressAt >= STREAM_IDLE_TIMEOUT_MILLIS
        && now - lastDataAt >= STREAM_IDLE_TIMEOUT_MILLIS;
  }

  // Final responses

  private void expire(long now, List<CallEffect> effects, Call call) {
    if (call.endpoint != null) {
      effects.add(new CallEffect.CancelAttempt(call.spec.number(), call.attempt));
      call.mayHaveExecuted = true;
    }
    if (call.streaming) {
      abortResponse(effects, call, "deadline exceeded");
    } else {
      reject(
          now,
          effects,
          call,
          call.mayHaveExecuted ? Rejection.EXPIRED_SENT : Rejection.EXPIRED_UNSENT,
          "no response after " + (now - call.arrivedAt) + " ms");
    }
  }

  private void abortResponse(List<CallEffect> effects, Call call, String reason) {
    effects.add(new CallEffect.AbortResponse(call.spec.number(), reason));
    log(effects, "cut", call, reason);
    remove(call);
  }

  private void reject(
      long now, List<CallEffect> effects, Call call, Rejection rejection, String reason) {
    if (call.streaming) {
      abortResponse(effects, call, reason);
      return;
    }
    Rejection effective =
        rejection.guaranteesNotExecuted() && call.mayHaveExecuted
            ? Rejection.ANSWER_LOST
            : rejection;
    effects.add(
        new CallEffect.Reject(
            call.spec.number(),
            effective,
            retryAfterMillis(now, effective, call.arrivedAt + call.spec.deadlineMillis() - now),
            reason));
    log(effects, "refuse", call, effective + ": " + reason);
    remove(call);
  }

  /**
   * Rejects a call because of its route or key. If the configuration is too old, the route or key
   * may have been added in the meantime, so the call is rejected as not ready instead.
   */
  private void rejectAsUnknown(
      long now,
      List<CallEffect> effects,
      CallSpec spec,
      Rejection rejection,
      String reason,
      long ageMillis) {
    boolean fresh = ageMillis <= options.maxDenialAgeMillis();
    rejectOnArrival(now, effects, spec, fresh ? rejection : Rejection.NOT_READY, reason, ageMillis);
  }

  private void rejectOnArrival(
      long now,
      List<CallEffect> effects,
      CallSpec spec,
      Rejection rejection,
      String reason,
      long ageMillis) {
    effects.add(
        new CallEffect.Reject(
            spec.number(),
            rejection,
            retryAfterMillis(now, rejection, spec.deadlineMillis()),
            reason));
    String logReason =
        rejection + ": " + reason + " ageMs=" + Math.min(ageMillis, Integer.MAX_VALUE);
    effects.add(
        new CallEffect.Log(
            new Decision("refuse", spec.id(), "", List.of(), "", logReason, config.version())));
  }

  private long retryAfterMillis(long now, Rejection rejection, long remainingMillis) {
    Availability others =
        rejection == Rejection.NOT_READY ? otherAvailability(now) : Availability.UNLIKELY;
    return retryAfter.millis(others, remainingMillis);
  }

  // Helpers

  /**
   * Estimates how long the caller already waited in earlier tries of the same call. A caller that
   * retries shortens its deadline by that time, so the estimate is the difference to the longest
   * deadline seen on the route.
   */
  private long estimateEarlierWait(RouteSpec route, CallSpec spec) {
    long longest = longestDeadlineByRoute.merge(route.name(), spec.deadlineMillis(), Math::max);
    long waited = longest - spec.deadlineMillis();
    return waited > DEADLINE_TOLERANCE_MILLIS ? waited : 0;
  }

  /** Picks a service at random, in proportion to the weights on the route. */
  private Optional<ServiceSpec> pickService(RouteSpec route) {
    List<WeightedService> services = route.services();
    double totalWeight = 0;
    for (WeightedService s : services) {
      totalWeight += s.weight();
    }
    double point = services.size() == 1 ? 0 : random.nextDouble() * totalWeight;
    for (WeightedService s : services) {
      point -= s.weight();
      if (point < 0 || services.size() == 1) {
        return config.findService(s.service());
      }
    }
    return Optional.empty();
  }

  private static Set<String> allowedRegions(RouteSpec route, WorkspaceSpec workspace) {
    Set<String> regions = new HashSet<>(route.regions());
    if (workspace != null && !workspace.regions().isEmpty()) {
      if (regions.isEmpty()) {
        regions.addAll(workspace.regions());
      } else {
        regions.retainAll(workspace.regions());
        // Route and workspace have no region in common. An empty set would allow all regions, so
        // add a name that matches no endpoint.
        if (regions.isEmpty()) {
          regions.add("");
        }
      }
    }
    return regions;
  }

  private Call findAttempt(long number, int attempt) {
    Call call = calls.get(number);
    return call == null || call.endpoint == null || call.attempt != attempt ? null : call;
  }

  private static void releaseEndpoint(Call call) {
    if (call.endpoint != null) {
      call.endpoint.ownCalls--;
      call.endpoint = null;
    }
  }

  private void remove(Call call) {
    releaseEndpoint(call);
    if (call.queuedUntil > 0) {
      call.queuedUntil = 0;
      queue.remove(call);
    }
    calls.remove(call.spec.number());
  }

  private void log(List<CallEffect> effects, String kind, Call call, String reason) {
    effects.add(
        new CallEffect.Log(
            new Decision(
                kind,
                call.spec.id(),
                call.workspace == null ? "" : call.workspace.name(),
                List.of(),
                call.endpoint == null ? "" : call.endpoint.spec.id(),
                call.route.name() + " attempt=" + call.attempt + " " + reason,
                config.version())));
  }

  /**
   * Returns whether the end of a response proves that the endpoint survived it. A response that
   * ends on the close of its connection may have been ended by a crash shortly after its start.
   */
  private static boolean provesService(long now, Call call) {
    return call.hasBegun() && (!call.endsOnClose || now - call.begunAt >= MIN_SERVICE_MILLIS);
  }

  /** Logs what calls that broke off at the same endpoint may have in common. */
  private void logBrokenAttempt(List<CallEffect> effects, Call call, String reason) {
    log(
        effects,
        "broken",
        call,
        "begun=" + call.hasBegun() + " parts=" + formatParts(call) + " " + reason);
  }

  private static String formatParts(Call call) {
    return call.spec.sharedParts().stream().map(Long::toHexString).collect(Collectors.joining(","));
  }

  /** Records the limit that an endpoint names in a response and logs that it changed. */
  private void recordNamedLimit(
      long now, List<CallEffect> effects, Endpoint endpoint, NamedLimit limit) {
    endpointPool.limits().record(now, endpoint.incarnation(), limit);
    if (limit.equals(endpoint.namedLimit)) {
      return;
    }
    endpoint.namedLimit = limit;
    effects.add(
        new CallEffect.Log(
            new Decision(
                "limit",
                endpoint.spec.id(),
                "",
                List.of(),
                "",
                limit.kind() + " perSecond=" + limit.perSecond(),
                config.version())));
  }

  /** Logs parts of prompts that became blocked or were cleared, and stores those of this entry. */
  private void reportPartChanges(long now, List<CallEffect> effects) {
    for (PartChange change : crashEvidence.takeChanges(now)) {
      if (change.own()) {
        effects.add(
            new CallEffect.StoreBlockedPart(
                change.part(), change.blocked() ? change.crashCount() : 0));
      }
      effects.add(
          new CallEffect.Log(
              new Decision(
                  change.blocked() ? "block" : "clear",
                  Long.toHexString(change.part()),
                  "",
                  List.of(),
                  "",
                  "part of prompts, crashes=" + change.crashCount(),
                  config.version())));
    }
  }

  private static double round(double value) {
    return Math.round(value * 10) / 10.0;
  }
}
