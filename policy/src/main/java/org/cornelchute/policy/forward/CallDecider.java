package org.cornelchute.policy.forward;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.cornelchute.core.model.OpenCalls;
import org.cornelchute.policy.crash.CrashEvidence;
import org.cornelchute.policy.forward.CallAdmission.Refusal;
import org.cornelchute.policy.forward.EndpointPool.Choice;
import org.cornelchute.policy.forward.OtherEntries.Availability;
import org.cornelchute.policy.load.EndpointSpeeds;
import org.cornelchute.policy.load.PrefixCaches;

/**
 * Decides on the calls of one entry and gives each call exactly one final response.
 *
 * <p>The duty reports whether any bytes of a failed attempt may have reached the endpoint. A call
 * is rejected as not executed only if no attempt can have executed it. A call is retried only if
 * its route is retryable or the failed attempt is known not to have executed it, within the maximum
 * attempts of the route and this entry's share of the retry budget of the service.
 *
 * <p>An attempt is given up only for something better: a stream whose endpoint is silent is sent to
 * a second one beside the first, and the attempt that delivers next is kept.
 */
public final class CallDecider {

  /** Minimum remaining time for a retry; with less, it is unlikely to complete in time. */
  private static final long MIN_RETRY_TIME_MILLIS = 60;

  private static final long MAX_REPORTED_AGE_MILLIS = 86_400_000;
  private static final int STATUS_INTERNAL_SERVER_ERROR = 500;

  /** Load per slot up to which endpoints accept retries. */
  private static final double RETRY_MAX_LOAD_PER_SLOT = 1.25;

  private final CallOptions options;
  private final EndpointPool endpointPool;
  private final Freshness freshness = new Freshness();
  private final OtherEntries otherEntries;
  private final VersionGate versionGate;
  private final RetryBudget retryBudget;
  private final CrashEvidence crashEvidence;
  private final CrashDetector crashDetector;
  private final CallAdmission admission;
  private final RetryAfter retryAfter;
  private final LoadLimits loadLimits = new LoadLimits();
  private final EndpointSelector selector;
  private final PlacementExplainer explainer;
  private final CallLog callLog = new CallLog();
  private final Map<Long, Call> calls = new LinkedHashMap<>();
  private final List<Call> queue = new ArrayList<>();
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
    this.crashDetector = new CrashDetector(crashEvidence, callLog);
    Random random = new Random(seed);
    this.admission = new CallAdmission(options, freshness, otherEntries, endpointPool, random);
    this.retryAfter = new RetryAfter(random);
    this.selector = new EndpointSelector(options, endpointPool, versionGate, loadLimits);
    this.explainer =
        new PlacementExplainer(admission, endpointPool, selector, loadLimits, crashEvidence);
  }

  // Accessors

  /** Returns the number of calls that have no final response yet. */
  public int openCallCount() {
    return calls.size();
  }

  /** Returns whether {@link #sweep} may have something to do. */
  public boolean needsSweep() {
    return !calls.isEmpty() || crashDetector.isPending();
  }

  /** Returns whether a configuration has been received and the endpoints are known. */
  public boolean isReady(long now) {
    return admission.isReady(now, config);
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
      replaceConfig(offered);
    }
  }

  /**
   * Replaces the configuration by one of any version, which operators wrote after the store lost
   * the one that is in force.
   */
  public void replaceConfig(ServingConfig written) {
    config = written;
    loadLimits.updateConfig(written);
    callLog.updateConfigVersion(written.version());
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

  /** Returns the speeds that endpoints state, shared by all entries. */
  public EndpointSpeeds endpointSpeeds() {
    return endpointPool.scores().speeds();
  }

  /** Returns the prompt prefixes that engines probably hold. */
  public PrefixCaches prefixCaches() {
    return endpointPool.scores().prefixCaches();
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
    return admission.shouldDivertCalls(now, config);
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

  /**
   * Explains where a call would be routed if it arrived now, and why. Changes nothing that later
   * decisions depend on: nothing is drawn, counted or recorded, and the call is not sent.
   */
  public PlacementExplanation explain(long now, PlacementQuery query) {
    return explainer.explain(now, config, query);
  }

  // Call events

  /** Handles a new call. */
  public List<CallEffect> onCall(long now, CallSpec spec) {
    List<CallEffect> effects = new ArrayList<>(3);
    Either<Refusal, Call> admitted = admission.admit(now, config, spec);
    if (admitted.isLeft()) {
      rejectOnArrival(now, effects, spec, admitted.getLeft());
      return effects;
    }
    Call call = admitted.get();
    calls.put(spec.number(), call);
    retryBudget.recordCall(now, call.service.name());
    loadLimits.recordArrival(now, call);
    dispatchOrQueue(now, effects, call, loadLimits.ofNewCall(now, call));
    return effects;
  }

  /**
   * Handles what the head of a response says about further calls to its endpoint. To be called
   * before {@link #onResponseHead}, and also if no call waits for the response any more.
   */
  public List<CallEffect> onEndpointNotice(long now, EndpointSpec endpoint, EndpointNotice notice) {
    return endpointPool.recordNotice(now, endpoint, notice)
        ? List.of(callLog.notice(endpoint, notice))
        : List.of();
  }

  /** Handles the head of a response from an endpoint. */
  public List<CallEffect> onResponseHead(long now, long number, int attempt, ResponseHead head) {
    List<CallEffect> effects = new ArrayList<>(3);
    Call call = calls.get(number);
    Attempt received = call == null ? null : call.findAttempt(attempt);
    if (received == null) {
      return effects;
    }
    received.lastProgressAt = now;
    Endpoint endpoint = received.endpoint;
    endpointPool.recordActivity(now, endpoint);
    if (!head.instanceMismatch()) {
      crashDetector.recordHeard(now, endpoint);
    }
    endpointPool.scores().recordLoad(now, endpoint, head.load());
    if (head.version() > 0) {
      // Another instance may have refused the call.
      endpoint.recordVersion(head.version(), !head.instanceMismatch());
    }
    recordNamedLimit(now, effects, endpoint, head.limit());
    if (received == call.backup) {
      handleBackupHead(now, effects, call, head);
    } else if (head.notExecuted() || head.instanceMismatch()) {
      handleEndpointRefusal(now, effects, call, head);
    } else if (head.impliesUnprovenRefusal()) {
      effects.add(new CallEffect.CancelAttempt(number, attempt));
      call.mayHaveExecuted = true;
      handleLostResponse(
          now, effects, call, "endpoint did not say whether it ran, status " + head.status());
    } else if (head.status() >= STATUS_INTERNAL_SERVER_ERROR
        && !call.streaming
        && (call.backup != null || canRetryNow(now, call))) {
      effects.add(new CallEffect.CancelAttempt(number, attempt));
      call.mayHaveExecuted = true;
      retryOrReject(now, effects, call, "endpoint responded with status " + head.status());
    } else if (head.isSuccess() && !head.signed()) {
      effects.add(new CallEffect.CancelAttempt(number, attempt));
      call.mayHaveExecuted = true;
      handleLostResponse(now, effects, call, "success response without signature of the endpoint");
    } else if (head.isSuccess()) {
      recordBegin(now, call, received, head);
      dropBackup(now, effects, call, "the endpoint of the first attempt goes on");
      startStream(effects, call);
    } else if (call.streaming) {
      effects.add(new CallEffect.CancelAttempt(number, attempt));
      call.mayHaveExecuted = true;
      handleLostResponse(
          now, effects, call, "endpoint did not resume the stream, status " + head.status());
    }
    dispatchQueued(now, effects);
    return effects;
  }

  /**
   * Handles stream events up to {@code lastEventId} that were received, before they are delivered
   * to the caller. Of two attempts, the one that delivers first is kept.
   */
  public List<CallEffect> onResponseProgress(long now, long number, int attempt, long lastEventId) {
    List<CallEffect> effects = new ArrayList<>(0);
    Call call = calls.get(number);
    Attempt received = call == null ? null : call.findAttempt(attempt);
    if (received == null) {
      return effects;
    }
    received.lastProgressAt = now;
    endpointPool.recordActivity(now, received.endpoint);
    crashDetector.recordHeard(now, received.endpoint);
    if (received == call.current) {
      dropBackup(now, effects, call, "the endpoint of the first attempt goes on");
    } else if (lastEventId > call.lastEventId) {
      cancel(now, effects, call, call.current);
      call.mayHaveExecuted = true;
      promoteBackup(effects, call, "the endpoint of the second attempt delivers first");
    }
    call.lastEventId = Math.max(call.lastEventId, lastEventId);
    return effects;
  }

  /**
   * Records whether the stream of a call may be resumed after the last event that was delivered to
   * the caller; not if that has no id. Streams may be resumed unless told otherwise.
   */
  public void recordResumable(long number, boolean resumable) {
    Call call = calls.get(number);
    if (call != null) {
      call.resumable = resumable;
    }
  }

  /**
   * Records that a stream waits for its caller, which reads too slowly. Nothing is received for it
   * meanwhile, so that it neither counts as stalled nor tells anything about its endpoint.
   */
  public void recordPause(long now, long number) {
    Call call = calls.get(number);
    if (call != null && call.current != null) {
      call.current.lastProgressAt = now;
    }
  }

  /**
   * Handles the end of a complete response from an endpoint.
   *
   * <p>A resumed stream without a new event does not complete the response: it may come from an
   * endpoint that fails, and nothing tells that the events before were all. The caller sees a
   * stream that breaks off, and may resume it itself.
   */
  public List<CallEffect> onResponseEnd(long now, long number, int attempt) {
    List<CallEffect> effects = new ArrayList<>(2);
    Call call = calls.get(number);
    Attempt ended = call == null ? null : call.findAttempt(attempt);
    if (ended == null) {
      return effects;
    }
    if (ended == call.backup) {
      dropBackup(now, effects, call, "no event after the last one that was delivered");
      return effects;
    }
    crashDetector.recordServed(now, effects, call, ended);
    if (ended.resumes && call.lastEventId <= ended.resumedAfter) {
      call.mayHaveExecuted = true;
      handleLostResponse(now, effects, call, "resumed stream ended without a new event");
    } else {
      dropBackup(now, effects, call, "the response of the first attempt is complete");
      effects.add(new CallEffect.Complete(number, attempt));
      effects.add(callLog.call("answered", call, "ms=" + (now - call.arrivedAt)));
      remove(call);
    }
    dispatchQueued(now, effects);
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
    Call call = calls.get(number);
    Attempt failed = call == null ? null : call.findAttempt(attempt);
    if (failed == null) {
      return effects;
    }
    endpointPool.recordFailure(now, failed.endpoint);
    if (!sent) {
      call.sentAttempts--;
      crashDetector.recordUnreachable(now, failed.endpoint);
    } else {
      call.mayHaveExecuted = true;
      effects.add(callLog.broken(call, failed, reason));
      crashDetector.recordEnd(now, call, failed, false);
      crashDetector.reportChanges(now, effects);
    }
    if (failed == call.backup) {
      removeBackup(effects, call, reason);
    } else if (!sent) {
      retryOrReject(now, effects, call, reason);
    } else {
      handleLostResponse(now, effects, call, reason);
    }
    dispatchQueued(now, effects);
    return effects;
  }

  /** Handles the disconnect of a caller before its final response. */
  public List<CallEffect> onCallerDisconnect(long now, long number) {
    List<CallEffect> effects = new ArrayList<>(2);
    Call call = calls.get(number);
    if (call != null) {
      cancelAttempts(now, effects, call);
      effects.add(
          callLog.call("gone", call, "caller disconnected after ms=" + (now - call.arrivedAt)));
      remove(call);
      dispatchQueued(now, effects);
    }
    return effects;
  }

  /**
   * Handles the end of a caller's connection that the entry closed before the final response.
   *
   * @param reason why it was closed
   */
  public List<CallEffect> onConnectionClose(long now, long number, String reason) {
    List<CallEffect> effects = new ArrayList<>(2);
    Call call = calls.get(number);
    if (call != null) {
      cancelAttempts(now, effects, call);
      abortResponse(effects, call, reason);
      dispatchQueued(now, effects);
    }
    return effects;
  }

  /** Forgets a call that the duty has ended, since a step of it failed. */
  public List<CallEffect> abandon(long now, long number) {
    List<CallEffect> effects = new ArrayList<>(2);
    Call call = calls.get(number);
    if (call != null) {
      cancelAttempts(now, effects, call);
      remove(call);
      dispatchQueued(now, effects);
    }
    return effects;
  }

  /**
   * Returns whether a call that was handled should have its final response: it is not held any
   * more, or its deadline has passed. After {@link #sweep} at the same time, none should.
   */
  public boolean isOverdue(long now, long number) {
    Call call = calls.get(number);
    return call == null || now > call.deadline;
  }

  /** Ends all calls, because the process ends before their responses are complete. */
  public List<CallEffect> onShutdown(long now) {
    List<CallEffect> effects = new ArrayList<>();
    for (Call call : new ArrayList<>(calls.values())) {
      call.mayHaveExecuted |= call.current != null;
      cancelAttempts(now, effects, call);
      reject(now, effects, call, Rejection.NOT_READY, "the process ends");
    }
    return effects;
  }

  /**
   * Ends calls that exceeded their deadline or queue time, sends streams of silent endpoints to a
   * second one, retries calls that still wait for an endpoint with superseded weights, and
   * dispatches queued calls.
   */
  public List<CallEffect> sweep(long now) {
    List<CallEffect> effects = new ArrayList<>();
    endpointPool.removeExpired(now);
    crashDetector.check(now, effects, calls.values());
    crashDetector.reportChanges(now, effects);
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
      } else {
        sweepAttempts(now, effects, call);
      }
    }
    dispatchQueued(now, effects);
    return effects;
  }

  private void sweepAttempts(long now, List<CallEffect> effects, Call call) {
    if (call.backup != null && isOutdated(now, call, call.backup)) {
      dropBackup(now, effects, call, "endpoint still holds a superseded version");
    }
    if (isOutdated(now, call, call.current)) {
      cancel(now, effects, call, call.current);
      call.mayHaveExecuted = true;
      String versions = selector.describeVersions(now, call, call.current);
      handleLostResponse(now, effects, call, "endpoint still holds superseded weights" + versions);
    } else if (call.route.isRetryable() && isStalled(now, call)) {
      endpointPool.recordStall(now, call.current.endpoint);
      sendBackup(now, effects, call);
    }
  }

  // Attempts

  /** Dispatches queued calls in order of priority while endpoints have capacity. */
  private void dispatchQueued(long now, List<CallEffect> effects) {
    Set<String> saturatedServices = new HashSet<>();
    for (Call call : List.copyOf(queue)) {
      if (saturatedServices.contains(call.service.name()) || call.queuedUntil == 0) {
        continue;
      }
      Choice choice = selector.choose(now, call, loadLimits.ofCall(call));
      if (choice.endpoint().isPresent()) {
        queue.remove(call);
        call.queuedUntil = 0;
        dispatch(now, effects, call, choice);
      } else if (choice.eligibleCount() == 0 && selector.pauseEnd(now, call) > call.queuedUntil) {
        rejectWithoutEndpoint(now, effects, call);
      } else {
        saturatedServices.add(call.service.name());
      }
    }
  }

  /**
   * Queues a call that was not sent yet if it may wait.
   *
   * @return whether the call was queued
   */
  private boolean tryEnqueue(long now, Call call) {
    long maxWait = loadLimits.maxQueueMillis(now, call);
    if (maxWait <= 0 || call.sentAttempts > 0) {
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
      reject(now, effects, call, Rejection.BLOCKED_PROMPT, "parts=" + CallLog.formatParts(call));
      return;
    }
    if (!call.spec.sharedParts().isEmpty() && crashEvidence.mayLackStored(now)) {
      reject(now, effects, call, Rejection.NOT_READY, "blocked parts are not known yet");
      return;
    }
    Choice choice = selector.choose(now, call, maxLoad);
    if (choice.endpoint().isPresent()) {
      dispatch(now, effects, call, choice);
    } else if (selector.lacksOnlyVersionAge(now, call, maxLoad)) {
      reject(now, effects, call, Rejection.NOT_READY, "age of the weights version is not known");
    } else if (endpointPool.mayLackEndpoints(now, call.service.name())) {
      reject(now, effects, call, Rejection.NOT_READY, "endpoints of the service are not known yet");
    } else if (choice.eligibleCount() == 0) {
      rejectWithoutEndpoint(now, effects, call);
    } else if (!tryEnqueue(now, call)) {
      reject(now, effects, call, Rejection.OVERLOADED, LoadLimits.noRoom(choice, maxLoad));
    }
  }

  /** Rejects a call that no endpoint may serve, until the first of those that pause returns. */
  private void rejectWithoutEndpoint(long now, List<CallEffect> effects, Call call) {
    long pauseEnd = selector.pauseEnd(now, call);
    if (pauseEnd > now) {
      long pauseMillis = pauseEnd - now;
      reject(
          effects,
          call,
          Rejection.NO_ENDPOINT,
          retryAfter.millisAfterPause(pauseMillis),
          "all endpoints pause, the first for ms=" + pauseMillis);
    } else {
      reject(now, effects, call, Rejection.NO_ENDPOINT, "no endpoint is eligible");
    }
  }

  private void dispatch(long now, List<CallEffect> effects, Call call, Choice choice) {
    call.current = startAttempt(now, call, choice);
    addDispatch(now, effects, call, call.current);
    logDispatch(now, effects, call, call.current, choice);
  }

  /**
   * Sends a stream whose endpoint is silent to a second one, if one can take it that does not seem
   * to be silent as well. The endpoint of the first attempt may be sound and about to go on, so
   * that attempt is given up only once the second one delivers.
   */
  private void sendBackup(long now, List<CallEffect> effects, Call call) {
    if (call.backup != null || !mayRetry(now, call)) {
      return;
    }
    Choice choice =
        endpointPool.choose(
            now,
            selector
                .requirements(
                    now, call, RETRY_MAX_LOAD_PER_SLOT, selector.requiredVersion(now, call))
                .respondingSince(call.current.lastProgressAt));
    if (choice.endpoint().isEmpty()
        || !retryBudget.trySpend(now, call.service.name(), endpointPool.sharingEntryCount())) {
      return;
    }
    call.backup = startAttempt(now, call, choice);
    effects.add(
        callLog.call(
            "backup",
            call,
            "no data from the endpoint for " + (now - call.current.lastProgressAt) + " ms"));
    addDispatch(now, effects, call, call.backup);
    logDispatch(now, effects, call, call.backup, choice);
  }

  private Attempt startAttempt(long now, Call call, Choice choice) {
    Endpoint endpoint = choice.endpoint().get();
    final long expectedVersion = expectedVersion(now, call, endpoint);
    call.lastAttempt++;
    call.sentAttempts++;
    call.triedEndpoints.add(endpoint.spec.id());
    endpoint.ownCalls++;
    endpoint.recentDispatches.add(now);
    Attempt attempt =
        new Attempt(
            call.lastAttempt, endpoint, expectedVersion, call.streaming, call.lastEventId, now);
    crashDetector.recordDispatch(now, call, attempt);
    return attempt;
  }

  /**
   * Returns the version that an attempt names, so that no call begins on older weights if the known
   * version of the endpoint is wrong; 0 if the endpoint may move to a newer one before the attempt
   * begins, and no version is required yet.
   */
  private long expectedVersion(long now, Call call, Endpoint endpoint) {
    long newest = selector.newestVersion(call);
    boolean holdsNewest = newest > 0 && endpoint.version >= newest;
    return call.streaming || holdsNewest || selector.requiredVersion(now, call) > 0
        ? endpoint.version
        : 0;
  }

  private void addDispatch(long now, List<CallEffect> effects, Call call, Attempt attempt) {
    // The entries share the connection limit of the endpoint, of which 10% stays in reserve.
    int maxConnections =
        Math.max(2, call.service.maxConnections() * 9 / 10 / endpointPool.sharingEntryCount());
    effects.add(
        new CallEffect.Dispatch(
            call.spec.number(),
            attempt.number,
            attempt.endpoint.spec,
            maxConnections,
            call.deadline - now,
            loadLimits.requestPriority(call),
            call.workspace == null ? "" : call.workspace.name(),
            attempt.expectedVersion,
            call.lastEventId,
            attempt == call.backup));
  }

  private void logDispatch(
      long now, List<CallEffect> effects, Call call, Attempt attempt, Choice choice) {
    double load = attempt.endpoint.estimateLoad(now, endpointPool.entryCount());
    String versions = selector.describeVersions(now, call, attempt);
    effects.add(callLog.dispatch(now, call, attempt, load, choice, versions));
  }

  /** Handles the head of a response to the second of two attempts. */
  private void handleBackupHead(long now, List<CallEffect> effects, Call call, ResponseHead head) {
    if (head.isSuccess() && head.signed()) {
      recordBegin(now, call, call.backup, head);
      return;
    }
    String reason = "second endpoint responded with status " + head.status();
    if (head.notExecuted() || head.instanceMismatch()) {
      endpointPool.recordFailure(now, call.backup.endpoint);
      removeBackup(effects, call, reason);
    } else {
      dropBackup(now, effects, call, reason);
    }
  }

  private void recordBegin(long now, Call call, Attempt attempt, ResponseHead head) {
    attempt.begunAt = now;
    attempt.version = head.version();
    attempt.endsOnClose = head.endsOnClose();
    endpointPool.scores().recordBegin(now, attempt.endpoint, call.service, call.spec);
  }

  /** Starts to forward the events of the current attempt, whose response has begun. */
  private static void startStream(List<CallEffect> effects, Call call) {
    if (call.route.kind() == CallKind.STREAM) {
      call.streaming = true;
      call.streamVersion = call.current.version;
      effects.add(new CallEffect.StartStream(call.spec.number(), call.current.number));
    }
  }

  /** Cancels the second of two attempts, if there is one; its endpoint may have executed it. */
  private void dropBackup(long now, List<CallEffect> effects, Call call, String reason) {
    if (call.backup != null) {
      call.mayHaveExecuted = true;
      crashDetector.recordEnd(now, call, call.backup, true);
      removeBackup(effects, call, reason);
    }
  }

  /** Ends the second of two attempts, which has failed or is known to be not executed. */
  private void removeBackup(List<CallEffect> effects, Call call, String reason) {
    effects.add(new CallEffect.CancelAttempt(call.spec.number(), call.backup.number));
    effects.add(callLog.attempt("drop", call, call.backup, reason));
    call.backup.endpoint.ownCalls--;
    call.backup = null;
  }

  /** Replaces the current attempt, which has ended or is canceled, with the second one. */
  private void promoteBackup(List<CallEffect> effects, Call call, String reason) {
    releaseCurrent(call);
    call.current = call.backup;
    call.backup = null;
    effects.add(new CallEffect.PromoteBackup(call.spec.number(), call.current.number));
    effects.add(callLog.call("promote", call, reason));
    if (call.current.hasBegun()) {
      startStream(effects, call);
    }
  }

  private void handleEndpointRefusal(
      long now, List<CallEffect> effects, Call call, ResponseHead head) {
    effects.add(new CallEffect.CancelAttempt(call.spec.number(), call.current.number));
    endpointPool.recordFailure(now, call.current.endpoint);
    retryOrReject(now, effects, call, "endpoint refused the call with status " + head.status());
  }

  private void handleLostResponse(long now, List<CallEffect> effects, Call call, String reason) {
    if (call.backup != null || mayRetry(now, call)) {
      retryOrReject(now, effects, call, reason);
    } else if (call.streaming) {
      abortResponse(effects, call, reason);
    } else {
      reject(now, effects, call, Rejection.ANSWER_LOST, reason);
    }
  }

  /**
   * Goes on with the second attempt of a call, if there is one. Otherwise retries the call if
   * attempts, remaining time and retry budget allow, and rejects it if they do not.
   */
  private void retryOrReject(long now, List<CallEffect> effects, Call call, String reason) {
    if (call.backup != null) {
      promoteBackup(effects, call, reason);
      return;
    }
    boolean countsAsRetry = call.sentAttempts > 0;
    releaseCurrent(call);
    effects.add(callLog.call("again", call, reason));
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
        && call.resumable
        && call.sentAttempts < call.route.maxAttempts()
        && call.deadline - now >= MIN_RETRY_TIME_MILLIS
        && !crashEvidence.isSuspect(now, call.spec.sharedParts());
  }

  /** Returns whether a call may be retried and another endpoint can take it at once. */
  private boolean canRetryNow(long now, Call call) {
    return mayRetry(now, call)
        && retryBudget.allows(now, call.service.name(), endpointPool.sharingEntryCount())
        && selector.choose(now, call, RETRY_MAX_LOAD_PER_SLOT).endpoint().isPresent();
  }

  /**
   * Returns whether an attempt has not begun and may still begin on weights that calls may not
   * start on. A resumption of a stream begins like any other attempt, on the weights of the stream.
   */
  private boolean isOutdated(long now, Call call, Attempt attempt) {
    return !attempt.hasBegun() && attempt.oldestVersion() < selector.cutoffVersion(now, call);
  }

  private static boolean isStalled(long now, Call call) {
    Attempt current = call.current;
    long lastDataAt = Math.max(current.endpoint.lastReceivedAt, current.dispatchedAt);
    return call.route.kind() == CallKind.STREAM
        && now - current.lastProgressAt >= CrashDetector.MAX_SILENCE_MILLIS
        && now - lastDataAt >= CrashDetector.MAX_SILENCE_MILLIS;
  }

  // Final responses

  private void expire(long now, List<CallEffect> effects, Call call) {
    call.mayHaveExecuted |= call.current != null;
    cancelAttempts(now, effects, call);
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
    effects.add(callLog.call("cut", call, reason));
    remove(call);
  }

  private void reject(
      long now, List<CallEffect> effects, Call call, Rejection rejection, String reason) {
    long remainingMillis = call.arrivedAt + call.spec.deadlineMillis() - now;
    long retryAfterMillis =
        retryAfterMillis(now, truthfulRejection(call, rejection), remainingMillis);
    reject(effects, call, rejection, retryAfterMillis, reason);
  }

  private void reject(
      List<CallEffect> effects,
      Call call,
      Rejection rejection,
      long retryAfterMillis,
      String reason) {
    if (call.streaming) {
      abortResponse(effects, call, reason);
      return;
    }
    Rejection effective = truthfulRejection(call, rejection);
    effects.add(new CallEffect.Reject(call.spec.number(), effective, retryAfterMillis, reason));
    effects.add(callLog.call("refuse", call, effective + ": " + reason));
    remove(call);
  }

  private static Rejection truthfulRejection(Call call, Rejection rejection) {
    return rejection.guaranteesNotExecuted() && call.mayHaveExecuted
        ? Rejection.ANSWER_LOST
        : rejection;
  }

  private void rejectOnArrival(long now, List<CallEffect> effects, CallSpec spec, Refusal refusal) {
    long retryAfterMillis = retryAfterMillis(now, refusal.rejection(), spec.deadlineMillis());
    effects.add(
        new CallEffect.Reject(
            spec.number(), refusal.rejection(), retryAfterMillis, refusal.reason()));
    effects.add(callLog.rejectedOnArrival(spec, refusal, freshness.ageMillis(now)));
  }

  private long retryAfterMillis(long now, Rejection rejection, long remainingMillis) {
    Availability others =
        rejection == Rejection.NOT_READY ? admission.otherAvailability(now) : Availability.UNLIKELY;
    return retryAfter.millis(others, remainingMillis);
  }

  // Helpers

  private void cancelAttempts(long now, List<CallEffect> effects, Call call) {
    dropBackup(now, effects, call, "the call ends");
    if (call.current != null) {
      cancel(now, effects, call, call.current);
    }
  }

  /** Cancels an attempt that its endpoint may still work on. */
  private void cancel(long now, List<CallEffect> effects, Call call, Attempt attempt) {
    effects.add(new CallEffect.CancelAttempt(call.spec.number(), attempt.number));
    crashDetector.recordEnd(now, call, attempt, true);
  }

  private static void releaseCurrent(Call call) {
    if (call.current != null) {
      call.current.endpoint.ownCalls--;
      call.current = null;
    }
  }

  private void remove(Call call) {
    releaseCurrent(call);
    if (call.queuedUntil > 0) {
      call.queuedUntil = 0;
      queue.remove(call);
    }
    calls.remove(call.spec.number());
  }

  /** Records the limit that an endpoint names in a response and logs that it changed. */
  private void recordNamedLimit(
      long now, List<CallEffect> effects, Endpoint endpoint, NamedLimit limit) {
    endpointPool.limits().record(now, endpoint.incarnation(), limit);
    if (limit.equals(endpoint.namedLimit)) {
      return;
    }
    endpoint.namedLimit = limit;
    effects.add(callLog.namedLimit(endpoint, limit));
  }
}
