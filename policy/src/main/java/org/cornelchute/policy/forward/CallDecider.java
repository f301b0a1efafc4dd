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
import org.cornelchute.core.log.Decision;
import org.cornelchute.core.model.OpenCalls;
import org.cornelchute.policy.forward.EndpointPool.Choice;
import org.cornelchute.policy.forward.EndpointPool.Requirements;
import org.cornelchute.policy.forward.RouteSpec.WeightedService;

/**
 * Brings every call of one entry to exactly one final answer.
 *
 * <p>Whether the bytes of an attempt may have left is a fact that the duty reports. Only a call of
 * which nothing can have run is refused as not run; only one that may be repeated, or that an
 * endpoint says it did not run, is sent again, inside the route's attempts and this entry's part of
 * the service's repeats.
 */
public final class CallDecider {

  /** Time without a byte from an endpoint after which a stream that waits for it goes elsewhere. */
  private static final long STREAM_IDLE_TIMEOUT_MILLIS = 900;

  /** Least time left in which sending a call again can still be of use. */
  private static final long MIN_RETRY_TIME_MILLIS = 60;

  /** Longest time after which a refused caller is asked back. */
  private static final long MAX_RETRY_AFTER_MILLIS = 2_000;

  /** Part of the time that a caller has left after which it is asked back; it honours a third. */
  private static final double MAX_RETRY_AFTER_SHARE = 0.32;

  /** Least part of that time, so that callers that are refused together do not return together. */
  private static final double MIN_RETRY_AFTER_FACTOR = 0.6;

  /** Time after which a caller is asked back that another entry may serve, and its spread. */
  private static final long FAILOVER_RETRY_AFTER_MILLIS = 20;

  private static final int FAILOVER_RETRY_AFTER_JITTER_MILLIS = 30;

  private static final long MAX_REPORTED_AGE_MILLIS = 86_400_000;
  private static final int STATUS_OK = 200;
  private static final int STATUS_MULTIPLE_CHOICES = 300;
  private static final int STATUS_INTERNAL_SERVER_ERROR = 500;

  /** Time until a version of unknown age is required. */
  private static final long UNKNOWN_AGE_GRACE_MILLIS = 2_000;

  /** Load per slot up to which plain services take calls that can still be answered in time. */
  private static final double MAX_LOAD_PER_SLOT = 1.0;

  /**
   * The same for engines, where all that run slow each other down and others' load is estimated.
   */
  private static final double ENGINE_MAX_LOAD_PER_SLOT = 0.95;

  /** Load per slot up to which they take calls that come late in any case. */
  private static final double LATE_CALL_MAX_LOAD_PER_SLOT = 0.6;

  /** Load per slot up to which they take calls that were sent before and may be repeated. */
  private static final double RETRY_MAX_LOAD_PER_SLOT = 1.25;

  /** Part of the time until a call comes late in which it may wait for room. */
  private static final double MAX_QUEUE_TIME_SHARE = 0.5;

  /** Time until a call comes late below which it is held to come late in any case. */
  private static final long MIN_REMAINING_TARGET_MILLIS = 60;

  /** How much shorter a caller's deadline may be than the usual one on its first call. */
  private static final long DEADLINE_TOLERANCE_MILLIS = 100;

  private final CallOptions options;
  private final EndpointPool endpointPool;
  private final Freshness freshness = new Freshness();
  private final OtherEntries otherEntries = new OtherEntries();
  private final VersionGate versionGate;
  private final RetryBudget retryBudget;
  private final Random random;
  private final Map<Long, Call> calls = new LinkedHashMap<>();
  private final List<Call> queue = new ArrayList<>();
  private final Map<String, Long> longestDeadlineByRoute = new HashMap<>();
  private ServingConfig config = ServingConfig.EMPTY;
  private boolean updateEndpoints;

  /** Creates a decider that knows nothing yet. */
  public CallDecider(CallOptions options, long seed) {
    this.options = options;
    this.endpointPool = new EndpointPool(options);
    this.versionGate = new VersionGate();
    this.retryBudget =
        new RetryBudget(
            options.retryRatio(), options.retryAllowance(), options.retryWindowMillis());
    this.random = new Random(seed);
  }

  // Accessors

  /** Returns the number of calls without a final answer. */
  public int openCallCount() {
    return calls.size();
  }

  /** Returns whether configuration and endpoints are known. */
  public boolean isReady() {
    return config.version() > 0 && updateEndpoints;
  }

  /** Returns the configuration in force, never null. */
  public ServingConfig config() {
    return config;
  }

  // Beliefs

  /** Takes a configuration; one that is not newer is passed over. */
  public void updateConfig(ServingConfig offered) {
    if (offered.version() > config.version()) {
      config = offered;
    }
  }

  /** Takes the whole list of endpoints. */
  public void updateEndpoints(long now, Collection<EndpointSpec> endpoints) {
    endpointPool.updateEndpoints(now, endpoints);
    updateEndpoints = true;
  }

  /** Notes that the list of endpoints can be had again after an outage. */
  public void onDirectoryRecovered(long now) {
    endpointPool.onDirectoryRecovered(now);
  }

  /** Takes the failure domains that are out of service. */
  public void updateEvacuatedDomains(Set<String> domains) {
    endpointPool.evacuated(domains);
  }

  /** Takes a version of a model's weights that operators named. */
  public void recordVersion(long learnt, String model, long version) {
    versionGate.recordVersion(learnt, model, version);
  }

  /** Takes a version of unknown age: it is required after a short time rather than too late. */
  public void recordVersionOfUnknownAge(long now, String model, long version) {
    versionGate.recordVersion(
        now - options.versionGraceMillis() + UNKNOWN_AGE_GRACE_MILLIS, model, version);
  }

  /** Takes the hosts whose engines change over to other weights, and how. */
  public void updateWeightsSwitches(long now, Map<String, WeightsSwitch> changeByHost) {
    endpointPool.updateWeightsSwitches(now, changeByHost);
  }

  /** Takes the entries that send to the same endpoints. */
  public void updateEntries(Collection<String> names) {
    endpointPool.entries(names);
  }

  /** Returns this entry's open calls, for the other entries. */
  public List<OpenCalls> openCalls() {
    return endpointPool.openCalls();
  }

  /** Takes what another entry has open, and how long ago the store confirmed its configuration. */
  public void recordEntryReport(long now, String entry, long ageMillis, List<OpenCalls> open) {
    otherEntries.recordReport(now, entry, ageMillis);
    endpointPool.recordEntryReport(now, entry, open);
  }

  /** Returns how long ago the store confirmed the configuration, at most a day. */
  public long configAgeMillis(long now) {
    return Math.min(freshness.ageMillis(now), MAX_REPORTED_AGE_MILLIS);
  }

  /**
   * Returns whether new callers are better sent to other entries, since this one is out of touch
   * with the store and they are not.
   */
  public boolean shouldDivertCalls(long now) {
    return config.requiresKeys()
        && freshness.ageMillis(now) > options.maxKeyAgeMillis()
        && otherEntries.mayServe(now, options.maxKeyAgeMillis());
  }

  /** Takes a confirmation that configuration and domains are as the store has them. */
  public void recordConfirmation(long askedAt) {
    freshness.confirm(askedAt);
  }

  /**
   * Compares the steady clock with the time of day; see {@link Freshness}.
   *
   * @return whether beliefs must be confirmed anew
   */
  public boolean detectSuspension(long now, long wallMillis) {
    return freshness.detectSuspension(now, wallMillis);
  }

  // Calls

  /** Handles a new call. */
  public List<CallEffect> onCall(long now, CallSpec spec) {
    List<CallEffect> effects = new ArrayList<>(3);
    long age = freshness.ageMillis(now);
    if (!isReady()) {
      rejectOnArrival(now, effects, spec, Rejection.NOT_READY, "no configuration known", age);
      return effects;
    }
    Optional<RouteSpec> route = config.findRoute(spec.host(), spec.path());
    if (route.isEmpty()) {
      rejectAsUnknown(
          now, effects, spec, Rejection.UNKNOWN_ROUTE, "no route takes host and path", age);
      return effects;
    }
    WorkspaceSpec workspace = null;
    if (config.requiresKeys() && !route.get().anonymous()) {
      Optional<WorkspaceSpec> found = config.findWorkspace(spec.key());
      if (found.isEmpty()) {
        rejectAsUnknown(
            now, effects, spec, Rejection.UNKNOWN_KEY, "no workspace holds the key", age);
        return effects;
      }
      if (age > options.maxKeyAgeMillis()) {
        rejectOnArrival(now, effects, spec, Rejection.NOT_READY, "keys are not confirmed", age);
        return effects;
      }
      workspace = found.get();
    }
    Optional<ServiceSpec> service = pickService(route.get());
    if (service.isEmpty()) {
      rejectOnArrival(
          now, effects, spec, Rejection.NO_ENDPOINT, "the route names no known service", age);
      return effects;
    }
    Call c =
        new Call(
            spec,
            route.get(),
            service.get(),
            workspace,
            allowedRegions(route.get(), workspace),
            estimateEarlierWait(route.get(), spec),
            now);
    calls.put(spec.number(), c);
    retryBudget.recordCall(now, c.service.name());
    dispatchOrQueue(
        now,
        effects,
        c,
        c.remainingTargetMillis(now) < MIN_REMAINING_TARGET_MILLIS
            ? LATE_CALL_MAX_LOAD_PER_SLOT
            : maxLoadPerSlot(c));
    return effects;
  }

  /** Handles the beginning of an endpoint's answer. */
  public List<CallEffect> onResponseHead(long now, long number, int attempt, ResponseHead head) {
    List<CallEffect> effects = new ArrayList<>(3);
    Call c = findAttempt(number, attempt);
    if (c == null) {
      return effects;
    }
    c.lastProgressAt = now;
    Endpoint e = c.endpoint;
    endpointPool.recordActivity(now, e);
    if (head.running() >= 0) {
      e.recordLoad(now, head.running(), head.queued());
    }
    if (head.version() > 0) {
      e.version = head.version();
    }
    if (head.notExecuted() || head.instanceMismatch()) {
      handleEndpointRefusal(now, effects, c, head);
    } else if (head.status() >= STATUS_INTERNAL_SERVER_ERROR && !c.streaming && mayRetry(now, c)) {
      effects.add(new CallEffect.CancelAttempt(number, attempt));
      retryOrReject(now, effects, c, "endpoint answered " + head.status());
    } else if (head.status() >= STATUS_OK
        && head.status() < STATUS_MULTIPLE_CHOICES
        && !head.signed()) {
      effects.add(new CallEffect.CancelAttempt(number, attempt));
      c.mayHaveExecuted = true;
      handleLostResponse(now, effects, c, "a success without signature");
    } else if (head.status() >= STATUS_OK && head.status() < STATUS_MULTIPLE_CHOICES) {
      if (c.route.kind() == CallKind.STREAM) {
        c.streaming = true;
        c.streamVersion = head.version();
        effects.add(new CallEffect.StartStream(number, attempt));
      }
    } else if (c.streaming) {
      abortResponse(effects, c, "the endpoint did not resume the stream: " + head.status());
    }
    dispatchQueued(now, effects);
    return effects;
  }

  /** Notes events passed on to the caller. */
  public void onResponseProgress(long now, long number, int attempt, long lastEvent) {
    Call c = findAttempt(number, attempt);
    if (c != null) {
      c.lastProgressAt = now;
      c.lastEventId = Math.max(c.lastEventId, lastEvent);
      c.endpoint.lastReceivedAt = now;
    }
  }

  /** Handles the whole end of an endpoint's answer. */
  public List<CallEffect> onResponseEnd(long now, long number, int attempt) {
    List<CallEffect> effects = new ArrayList<>(2);
    Call c = findAttempt(number, attempt);
    if (c != null) {
      effects.add(new CallEffect.Complete(number, attempt));
      log(effects, "answered", c, "ms=" + (now - c.arrivedAt));
      remove(c);
      dispatchQueued(now, effects);
    }
    return effects;
  }

  /**
   * Handles an attempt that ended without a whole answer.
   *
   * @param sent whether any of its bytes may have left
   */
  public List<CallEffect> onAttemptFailure(
      long now, long number, int attempt, boolean sent, String why) {
    List<CallEffect> effects = new ArrayList<>(3);
    Call c = findAttempt(number, attempt);
    if (c == null) {
      return effects;
    }
    endpointPool.recordFailure(now, c.endpoint);
    if (!sent) {
      c.sentAttempts--;
      retryOrReject(now, effects, c, why);
      return effects;
    }
    c.mayHaveExecuted = true;
    handleLostResponse(now, effects, c, why);
    dispatchQueued(now, effects);
    return effects;
  }

  /** Handles a caller that went away. */
  public List<CallEffect> onCallerDisconnect(long now, long number) {
    List<CallEffect> effects = new ArrayList<>(2);
    Call c = calls.get(number);
    if (c != null) {
      if (c.endpoint != null) {
        effects.add(new CallEffect.CancelAttempt(number, c.attempt));
      }
      log(effects, "gone", c, "caller left after ms=" + (now - c.arrivedAt));
      remove(c);
      dispatchQueued(now, effects);
    }
    return effects;
  }

  /** Ends calls whose time is up and moves streams away from silent endpoints. */
  public List<CallEffect> sweep(long now) {
    List<CallEffect> effects = new ArrayList<>();
    endpointPool.removeExpired(now);
    for (Call c : new ArrayList<>(calls.values())) {
      if (now >= c.deadline) {
        expire(now, effects, c);
      } else if (c.queuedUntil > 0) {
        if (now >= c.queuedUntil) {
          reject(
              now, effects, c, Rejection.OVERLOADED, "no room in " + (now - c.arrivedAt) + " ms");
        }
      } else if (!c.streaming && isOutdated(now, c)) {
        effects.add(new CallEffect.CancelAttempt(c.spec.number(), c.attempt));
        c.mayHaveExecuted = true;
        handleLostResponse(now, effects, c, "endpoint still has version " + c.endpoint.version);
      } else if (c.route.isRetryable() && isStalled(now, c)) {
        endpointPool.recordFailure(now, c.endpoint);
        if (mayRetry(now, c)) {
          effects.add(new CallEffect.CancelAttempt(c.spec.number(), c.attempt));
          c.mayHaveExecuted = true;
          retryOrReject(
              now, effects, c, "endpoint silent for " + (now - c.endpoint.lastReceivedAt) + " ms");
        }
      }
    }
    dispatchQueued(now, effects);
    return effects;
  }

  // Attempts

  /** Sends calls that wait for room, the most urgent first, as far as there is room. */
  private void dispatchQueued(long now, List<CallEffect> effects) {
    Set<String> full = new HashSet<>();
    for (Call c : List.copyOf(queue)) {
      if (full.contains(c.service.name()) || c.queuedUntil == 0) {
        continue;
      }
      Choice choice = chooseEndpoint(now, c, maxLoadPerSlot(c));
      if (choice.endpoint().isPresent()) {
        queue.remove(c);
        c.queuedUntil = 0;
        dispatch(now, effects, c, choice);
      } else {
        full.add(c.service.name());
      }
    }
  }

  private static double maxLoadPerSlot(Call c) {
    return c.service.engine().isPresent() ? ENGINE_MAX_LOAD_PER_SLOT : MAX_LOAD_PER_SLOT;
  }

  /**
   * Lets a call wait for room if it can then still be answered in time.
   *
   * <p>Not for engines: their first event takes most of the time allowed, so that what waited comes
   * late and takes the place of a call that would not.
   */
  private boolean tryEnqueue(long now, Call c) {
    long wait = (long) (c.remainingTargetMillis(now) * MAX_QUEUE_TIME_SHARE);
    if (wait <= 0 || c.sentAttempts > 0 || c.service.engine().isPresent()) {
      return false;
    }
    c.queuedUntil = now + wait;
    int at = queue.size();
    while (at > 0 && queue.get(at - 1).priority() > c.priority()) {
      at--;
    }
    queue.add(at, c);
    return true;
  }

  private void dispatchOrQueue(long now, List<CallEffect> effects, Call c, double limit) {
    Choice choice = chooseEndpoint(now, c, limit);
    if (choice.endpoint().isPresent()) {
      dispatch(now, effects, c, choice);
    } else if (choice.eligibleCount() == 0) {
      reject(now, effects, c, Rejection.NO_ENDPOINT, "no endpoint may serve it");
    } else if (!tryEnqueue(now, c)) {
      reject(now, effects, c, Rejection.OVERLOADED, "no room, allowed=" + choice.eligibleCount());
    }
  }

  private Choice chooseEndpoint(long now, Call c, double limit) {
    long version = c.streaming ? c.streamVersion : 0;
    return endpointPool.choose(
        now,
        new Requirements(
            c.service,
            c.regions,
            requiredVersion(now, c, options.versionGraceMillis()),
            version,
            limit,
            c.triedEndpoints));
  }

  private long requiredVersion(long now, Call c, long graceMillis) {
    return c.service
        .engine()
        .map(e -> versionGate.requiredVersion(now, e.model(), graceMillis))
        .orElse(0L);
  }

  private void dispatch(long now, List<CallEffect> effects, Call c, Choice choice) {
    Endpoint e = choice.endpoint().get();
    c.endpoint = e;
    c.attempt++;
    c.sentAttempts++;
    c.dispatchedAt = now;
    c.lastProgressAt = now;
    c.triedEndpoints.add(e.spec.id());
    e.ownCalls++;
    e.recentDispatches.add(now);
    long left = c.deadline - now;
    long expected =
        requiredVersion(now, c, options.versionGraceMillis()) > 0 || c.streaming ? e.version : 0;
    int connections = Math.max(2, c.service.maxConnections() * 9 / 10 / endpointPool.entries());
    effects.add(
        new CallEffect.Dispatch(
            c.spec.number(),
            c.attempt,
            e.spec,
            connections,
            left,
            c.priority(),
            c.workspace == null ? "" : c.workspace.name(),
            expected,
            c.lastEventId));
    log(
        effects,
        "route",
        c,
        "load="
            + round(e.estimateLoad(now, endpointPool.entries()))
            + " allowed="
            + choice.eligibleCount());
  }

  private void handleEndpointRefusal(
      long now, List<CallEffect> effects, Call c, ResponseHead head) {
    effects.add(new CallEffect.CancelAttempt(c.spec.number(), c.attempt));
    endpointPool.recordFailure(now, c.endpoint);
    retryOrReject(now, effects, c, "endpoint refused with " + head.status());
  }

  private void handleLostResponse(long now, List<CallEffect> effects, Call c, String why) {
    if (mayRetry(now, c)) {
      retryOrReject(now, effects, c, why);
    } else if (c.streaming) {
      abortResponse(effects, c, why);
    } else {
      reject(now, effects, c, Rejection.ANSWER_LOST, why);
    }
  }

  /** Sends a call once more if attempts, budget and time allow, or gives it up. */
  private void retryOrReject(long now, List<CallEffect> effects, Call c, String why) {
    boolean counted = c.sentAttempts > 0;
    releaseEndpoint(c);
    log(effects, "again", c, why);
    if (c.sentAttempts >= c.route.maxAttempts() || c.deadline - now < MIN_RETRY_TIME_MILLIS) {
      reject(now, effects, c, Rejection.OVERLOADED, "no attempt left: " + why);
    } else if (counted && !retryBudget.trySpend(now, c.service.name(), endpointPool.entries())) {
      reject(now, effects, c, Rejection.OVERLOADED, "repeats are spent: " + why);
    } else {
      dispatchOrQueue(now, effects, c, RETRY_MAX_LOAD_PER_SLOT);
    }
  }

  private boolean mayRetry(long now, Call c) {
    return c.route.isRetryable()
        && c.sentAttempts < c.route.maxAttempts()
        && c.deadline - now >= MIN_RETRY_TIME_MILLIS;
  }

  /** Returns whether a call did not begin in time on weights that have been superseded. */
  private boolean isOutdated(long now, Call c) {
    return c.endpoint.version < requiredVersion(now, c, options.versionCutoffMillis());
  }

  private static boolean isStalled(long now, Call c) {
    long heard = Math.max(c.endpoint.lastReceivedAt, c.dispatchedAt);
    return c.route.kind() == CallKind.STREAM
        && now - c.lastProgressAt >= STREAM_IDLE_TIMEOUT_MILLIS
        && now - heard >= STREAM_IDLE_TIMEOUT_MILLIS;
  }

  // Final answers

  private void expire(long now, List<CallEffect> effects, Call c) {
    if (c.endpoint != null) {
      effects.add(new CallEffect.CancelAttempt(c.spec.number(), c.attempt));
      c.mayHaveExecuted = true;
    }
    if (c.streaming) {
      abortResponse(effects, c, "time is up");
    } else {
      reject(
          now,
          effects,
          c,
          c.mayHaveExecuted ? Rejection.EXPIRED_SENT : Rejection.EXPIRED_UNSENT,
          "no answer after " + (now - c.arrivedAt) + " ms");
    }
  }

  private void abortResponse(List<CallEffect> effects, Call c, String why) {
    effects.add(new CallEffect.AbortResponse(c.spec.number(), why));
    log(effects, "cut", c, why);
    remove(c);
  }

  private void reject(long now, List<CallEffect> effects, Call c, Rejection rejection, String why) {
    if (c.streaming) {
      abortResponse(effects, c, why);
      return;
    }
    Rejection said =
        rejection.guaranteesNotExecuted() && c.mayHaveExecuted ? Rejection.ANSWER_LOST : rejection;
    effects.add(
        new CallEffect.Reject(
            c.spec.number(),
            said,
            retryAfterMillis(c.arrivedAt + c.spec.deadlineMillis() - now),
            why));
    log(effects, "refuse", c, said + ": " + why);
    remove(c);
  }

  private void rejectAsUnknown(
      long now,
      List<CallEffect> effects,
      CallSpec spec,
      Rejection rejection,
      String why,
      long age) {
    boolean sure = age <= options.maxDenialAgeMillis();
    rejectOnArrival(now, effects, spec, sure ? rejection : Rejection.NOT_READY, why, age);
  }

  private void rejectOnArrival(
      long now,
      List<CallEffect> effects,
      CallSpec spec,
      Rejection rejection,
      String why,
      long age) {
    boolean elsewhere =
        rejection == Rejection.NOT_READY && otherEntries.mayServe(now, options.maxKeyAgeMillis());
    long retry = elsewhere ? failoverRetryAfterMillis() : retryAfterMillis(spec.deadlineMillis());
    effects.add(new CallEffect.Reject(spec.number(), rejection, retry, why));
    String reason = rejection + ": " + why + " ageMs=" + Math.min(age, Integer.MAX_VALUE);
    effects.add(
        new CallEffect.Log(
            new Decision("refuse", spec.id(), "", List.of(), "", reason, config.version())));
  }

  /** Returns when to ask again: as late as callers accept, since what refuses them lasts. */
  private long retryAfterMillis(long leftMillis) {
    double most = Math.min(MAX_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_SHARE * Math.max(0, leftMillis));
    double spread = MIN_RETRY_AFTER_FACTOR + (1 - MIN_RETRY_AFTER_FACTOR) * random.nextDouble();
    return Math.round(most * spread);
  }

  /** Returns when to ask again where another entry may serve the call: callers reach others. */
  private long failoverRetryAfterMillis() {
    return FAILOVER_RETRY_AFTER_MILLIS + random.nextInt(FAILOVER_RETRY_AFTER_JITTER_MILLIS);
  }

  // Helpers

  /** Returns how long a caller has waited already, from how much less it still waits than usual. */
  private long estimateEarlierWait(RouteSpec route, CallSpec spec) {
    long usual = longestDeadlineByRoute.merge(route.name(), spec.deadlineMillis(), Math::max);
    long waited = usual - spec.deadlineMillis();
    return waited > DEADLINE_TOLERANCE_MILLIS ? waited : 0;
  }

  private Optional<ServiceSpec> pickService(RouteSpec route) {
    List<WeightedService> shares = route.services();
    double all = 0;
    for (WeightedService s : shares) {
      all += s.weight();
    }
    double point = shares.size() == 1 ? 0 : random.nextDouble() * all;
    for (WeightedService s : shares) {
      point -= s.weight();
      if (point < 0 || shares.size() == 1) {
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
        // No region suits both: a name that no endpoint has keeps the call from all of them.
        if (regions.isEmpty()) {
          regions.add("");
        }
      }
    }
    return regions;
  }

  private Call findAttempt(long number, int attempt) {
    Call c = calls.get(number);
    return c == null || c.endpoint == null || c.attempt != attempt ? null : c;
  }

  private static void releaseEndpoint(Call c) {
    if (c.endpoint != null) {
      c.endpoint.ownCalls--;
      c.endpoint = null;
    }
  }

  private void remove(Call c) {
    releaseEndpoint(c);
    if (c.queuedUntil > 0) {
      c.queuedUntil = 0;
      queue.remove(c);
    }
    calls.remove(c.spec.number());
  }

  private void log(List<CallEffect> effects, String kind, Call c, String reason) {
    effects.add(
        new CallEffect.Log(
            new Decision(
                kind,
                c.spec.id(),
                c.workspace == null ? "" : c.workspace.name(),
                List.of(),
                c.endpoint == null ? "" : c.endpoint.spec.id(),
                c.route.name() + " attempt=" + c.attempt + " " + reason,
                config.version())));
  }

  private static double round(double value) {
    return Math.round(value * 10) / 10.0;
  }
}
