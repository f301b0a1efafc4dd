package org.cornelchute.policy.routing;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.cornelchute.core.log.Decision;
import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.message.ServingMessage;
import org.cornelchute.core.message.ServingMessage.NotRunReason;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Load;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.cornelchute.core.model.WorkspaceUsage;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.fairness.FairQueue;
import org.cornelchute.policy.fairness.UsageTracker;
import org.cornelchute.policy.rules.Rules;

/**
 * Routes the requests of one entry and ends each of them with exactly one outcome: a complete
 * response, a refusal that states correctly whether the request ran, a visibly aborted response, or
 * "outcome unknown".
 *
 * <p>A request is retried only if it certainly did not run or if it is marked repeatable, as in
 * published guidance on automatic retries for durable objects. That guidance returns the error of
 * the first attempt for all other requests. This class resolves them instead: it dispatches a
 * non-repeatable request to one agent under one identity and, if the response is lost, asks the
 * agent to seal the attempt. The agent then either replays the response of the attempt or
 * guarantees that the attempt never runs.
 */
public final class RequestDecider {

  private static final long SEAL_INTERVAL_MILLIS = 250;

  /** Time without a frame after which an attempt on a suspected agent counts as lost. */
  private static final long FRAME_TIMEOUT_MILLIS = 2_000;

  private static final long BASE_BACKOFF_MILLIS = 10;
  private static final long MAX_BACKOFF_MILLIS = 1_000;
  private static final long ENDPOINT_BACKOFF_MILLIS = 500;
  private static final int RETRY_AFTER_SECONDS = 1;

  private final RoutingOptions options;
  private final EndpointTable endpoints;
  private final Random random;
  private final Map<String, RequestState> requests = new LinkedHashMap<>();
  private final Map<String, List<RequestState>> requestsByWireId = new HashMap<>();
  private final Map<Target, FairQueue<RequestState>> queues = new HashMap<>();
  private final RequestLimits limits;
  private final ResponseAssembler responses;
  private final Map<String, Member> liveEntries = new HashMap<>();
  private final UsageTracker usage = new UsageTracker();
  private Rules rulesInForce = Rules.NONE;
  private boolean leaving;

  /**
   * Creates a decider without rules and endpoints.
   *
   * @param self member id of this entry
   * @param region region of this entry
   * @param options routing limits
   * @param seed seed for the random choice of endpoints and for backoff jitter
   */
  public RequestDecider(String self, String region, RoutingOptions options, long seed) {
    this.options = options;
    this.endpoints = new EndpointTable(self, region, options, seed);
    this.random = new Random(seed);
    this.limits = new RequestLimits(options.retryRatio());
    this.responses = new ResponseAssembler(options.maxBufferedBytes());
  }

  // Accessors

  /** Returns the number of requests that have no outcome yet. */
  public int openRequestCount() {
    return requests.size();
  }

  /** Returns the number of requests queued for an endpoint. */
  public int queuedRequestCount() {
    int count = 0;
    for (FairQueue<RequestState> queue : queues.values()) {
      count += queue.size();
    }
    return count;
  }

  /** Returns the service that each workspace has received since this entry started. */
  public List<WorkspaceUsage> workspaceUsage() {
    return usage.snapshot(rulesInForce);
  }

  /** Returns whether the entry accepts requests: it has rules and is not leaving. */
  public boolean isReady() {
    return rulesInForce.version() > 0 && !leaving;
  }

  // Events from callers

  /** Accepts a new request, or refuses it without running it. */
  public List<RoutingEffect> onRequest(long now, RequestSpec spec) {
    List<RoutingEffect> effects = new ArrayList<>();
    if (!isReady()) {
      refuse(
          effects,
          spec,
          Refusal.NOT_RUN,
          leaving ? "the entry is leaving" : "the entry has no rules yet");
      return effects;
    }
    if (!limits.tryAcquire(now, rulesInForce, spec.workspace(), liveEntries.size())) {
      refuse(effects, spec, Refusal.RATE_LIMITED, "the workspace exceeds its rate limit");
      return effects;
    }
    RequestState request = new RequestState(spec, now);
    requests.put(spec.id(), request);
    limits.recordNewRequest(now, spec.target());
    if (spec.claimRow().isEmpty()) {
      bindWireId(request, spec.id());
      enqueue(now, effects, request);
    } else {
      request.stage = RequestState.Stage.CLAIM_READ;
      effects.add(new RoutingEffect.ReadClaim(spec.id(), spec.claimRow()));
    }
    dispatchQueued(now, effects);
    return effects;
  }

  /** Handles a caller that disconnected before its request had an outcome. */
  public List<RoutingEffect> onCallerDisconnect(long now, String id) {
    List<RoutingEffect> effects = new ArrayList<>();
    RequestState request = requests.get(id);
    if (request == null) {
      return effects;
    }
    if (request.stage == RequestState.Stage.SENT && request.spec.repeatable()) {
      send(effects, request, new ServingMessage.Cancel(request.wireId, request.attempt));
    }
    remove(request);
    dispatchQueued(now, effects);
    return effects;
  }

  // Events from agents

  /** Handles a message from an agent. */
  public List<RoutingEffect> onMessage(long now, String agent, Message message) {
    List<RoutingEffect> effects = new ArrayList<>();
    if (message instanceof ControlMessage.LoadReport loadReport) {
      applyLoadReport(loadReport.member(), loadReport.load());
    } else if (message instanceof ServingMessage.NotRun notRun) {
      applyLoadReport(agent, notRun.load());
      if (notRun.reason() == NotRunReason.BUSY) {
        // A short backoff is enough: the agent reports its load as soon as it has capacity again.
        endpoints
            .find(agent)
            .ifPresent(endpoint -> endpoint.backoffUntil = now + BASE_BACKOFF_MILLIS);
      }
      for (RequestState request : requestsAwaitingMessage(notRun, agent)) {
        handleNotRun(now, effects, request, notRun.reason());
      }
    } else if (message instanceof ServingMessage.OutcomeUnknown outcomeUnknown) {
      for (RequestState request : requestsAwaitingMessage(outcomeUnknown, agent)) {
        refuse(
            effects,
            request,
            Refusal.OUTCOME_UNKNOWN,
            "the agent does not know whether the request ran");
      }
    } else if (message instanceof ServingMessage.Running running) {
      for (RequestState request : requestsAwaitingMessage(running, agent)) {
        request.waitingSince = now;
        request.lastFrameAt = now;
      }
    } else if (message instanceof ServingMessage.AnswerHead head) {
      for (RequestState request : requestsAwaitingMessage(head, agent)) {
        if (!responses.acceptHead(now, request, head)) {
          handleOtherResponse(now, effects, request, "status " + head.status());
        }
      }
    } else if (message instanceof ServingMessage.AnswerPart part) {
      for (RequestState request : requestsAwaitingMessage(part, agent)) {
        if (!responses.acceptPart(now, effects, request, part)) {
          handleOtherResponse(now, effects, request, "bytes that are no event");
        }
      }
    } else if (message instanceof ServingMessage.AnswerEnd end) {
      applyLoadReport(agent, end.load());
      for (RequestState request : requestsAwaitingMessage(end, agent)) {
        handleResponseEnd(now, effects, request, end);
      }
    }
    dispatchQueued(now, effects);
    return effects;
  }

  /** Handles a lost connection to an agent: the outcome of its open attempts is unknown. */
  public List<RoutingEffect> onConnectionLost(long now, String agent) {
    List<RoutingEffect> effects = new ArrayList<>();
    backOff(now, agent);
    for (RequestState request : requestsAwaitingAgent(agent)) {
      handleLostResponse(now, effects, request, false);
    }
    dispatchQueued(now, effects);
    return effects;
  }

  /** Handles a message that was certainly not sent because no connection could be opened. */
  public List<RoutingEffect> onSendFailure(long now, String agent, Message message) {
    List<RoutingEffect> effects = new ArrayList<>();
    backOff(now, agent);
    if (message instanceof ServingMessage.Dispatch dispatch) {
      for (RequestState request : requestsAwaitingMessage(dispatch, agent)) {
        handleNotRun(now, effects, request, NotRunReason.ENDPOINT_DOWN);
      }
    }
    dispatchQueued(now, effects);
    return effects;
  }

  // Events from the control plane

  /** Applies a change of a member, which is an entry or an agent. */
  public List<RoutingEffect> updateMember(long now, Member member, Health health) {
    if (member.role() == Role.ENTRY) {
      liveEntries.put(member.id(), member);
      if (health == Health.DEAD || member.leaving()) {
        liveEntries.remove(member.id());
      }
      return List.of();
    }
    endpoints.updateMember(member, health, rulesInForce);
    List<RoutingEffect> effects = new ArrayList<>();
    for (RequestState request : requestsAwaitingAgent(member.id())) {
      boolean incarnationLost = health == Health.DEAD || request.boot != member.boot();
      if (incarnationLost && request.spec.repeatable()) {
        handleLostResponse(now, effects, request, false);
      } else if (incarnationLost) {
        refuse(
            effects,
            request,
            Refusal.OUTCOME_UNKNOWN,
            "the agent stopped while it had the request");
      }
    }
    dispatchQueued(now, effects);
    return effects;
  }

  /** Puts new rules in force. */
  public List<RoutingEffect> updateRules(long now, Rules adopted) {
    rulesInForce = adopted;
    limits.resetRateLimits();
    endpoints.updateRules(adopted);
    List<RoutingEffect> effects = new ArrayList<>();
    dispatchQueued(now, effects);
    return effects;
  }

  /** Stops accepting new requests permanently; open requests continue to their outcome. */
  public void leave() {
    leaving = true;
  }

  /**
   * Checks deadlines and timeouts, repeats seals, dispatches retries that are due, and requests
   * missing load reports.
   */
  public List<RoutingEffect> tick(long now) {
    List<RoutingEffect> effects = new ArrayList<>();
    for (RequestState request : new ArrayList<>(requests.values())) {
      if (!requests.containsKey(request.spec.id())) {
        continue;
      }
      checkTimeouts(now, effects, request);
    }
    for (Endpoint endpoint : endpoints.usedEndpoints()) {
      if (endpoint.load == null || endpoint.load.boot() != endpoint.member.boot()) {
        requestLoad(now, effects, endpoint);
      }
    }
    dispatchQueued(now, effects);
    return effects;
  }

  // Events from the table service

  /**
   * Handles the claim row of a request's idempotency key.
   *
   * @param claim content of the row, empty if the row does not exist
   * @param version version of the row, 0 if it does not exist
   */
  public List<RoutingEffect> onClaimRead(long now, String id, Optional<Claim> claim, long version) {
    List<RoutingEffect> effects = new ArrayList<>();
    RequestState request = requests.get(id);
    if (request == null) {
      return effects;
    }
    request.claimVersion = version;
    if (claim.isEmpty()) {
      request.attempt = 0;
      bindWireId(request, request.spec.claimRow());
      enqueue(now, effects, request);
    } else if (!claim.get().fingerprint().equals(request.spec.fingerprint())) {
      refuse(
          effects,
          request,
          Refusal.KEY_REUSED,
          "the idempotency key was already used for a different request");
    } else if (request.stage == RequestState.Stage.CLAIM_WRITE
        && claim.get().equals(createClaim(request))) {
      // The write succeeded although its response was lost.
      dispatch(now, effects, request);
    } else {
      joinClaimedAttempt(now, effects, request, claim.get());
    }
    dispatchQueued(now, effects);
    return effects;
  }

  /**
   * Handles the result of writing a claim row.
   *
   * @param written new version of the row, or the reason why the write failed
   */
  public List<RoutingEffect> onClaimWritten(long now, String id, Either<Failure, Long> written) {
    List<RoutingEffect> effects = new ArrayList<>();
    RequestState request = requests.get(id);
    if (request == null || request.stage != RequestState.Stage.CLAIM_WRITE) {
      return effects;
    }
    if (written.isRight()) {
      request.claimVersion = written.get();
      dispatch(now, effects, request);
    } else if (written.getLeft().code() == Failure.Code.UNAVAILABLE) {
      refuseTableUnavailable(effects, request);
    } else {
      effects.add(new RoutingEffect.ReadClaim(id, request.spec.claimRow()));
    }
    dispatchQueued(now, effects);
    return effects;
  }

  /** Refuses a request as not run because its claim row could not be read before dispatch. */
  public List<RoutingEffect> onClaimReadFailure(long now, String id) {
    List<RoutingEffect> effects = new ArrayList<>();
    RequestState request = requests.get(id);
    if (request != null) {
      refuseTableUnavailable(effects, request);
      dispatchQueued(now, effects);
    }
    return effects;
  }

  /**
   * Refuses a request whose claim row exists but cannot be decoded: an earlier request with the
   * same key may have run, and the row will not become readable by itself.
   */
  public List<RoutingEffect> onClaimUndecodable(long now, String id) {
    List<RoutingEffect> effects = new ArrayList<>();
    RequestState request = requests.get(id);
    if (request != null) {
      refuse(
          effects,
          request,
          Refusal.OUTCOME_UNKNOWN,
          "the claim row of the idempotency key cannot be decoded: a request with this key may have"
              + " run");
      dispatchQueued(now, effects);
    }
    return effects;
  }

  // Responses

  private void handleResponseEnd(
      long now, List<RoutingEffect> effects, RequestState request, ServingMessage.AnswerEnd end) {
    if (responses.acceptEnd(effects, request, end)) {
      recordServed(request, end.tokens());
      remove(request);
      return;
    }
    if (end.complete() && request.stage == RequestState.Stage.SEALING) {
      // This end belongs to the copy for an earlier request with the same key; the replay for this
      // request is still to come.
      return;
    }
    handleLostResponse(now, effects, request, true);
  }

  private void recordServed(RequestState request, int tokens) {
    queueFor(request.spec.target())
        .adjustCharge(request.spec.workspace(), tokens - request.spec.expectedOutputTokens());
    usage.recordResponse(request.spec.workspace(), tokens);
  }

  /** Handles a response that was to continue an event stream and is something else. */
  private void handleOtherResponse(
      long now, List<RoutingEffect> effects, RequestState request, String reason) {
    send(effects, request, new ServingMessage.Cancel(request.wireId, request.attempt));
    logDecision(
        effects,
        "again",
        request,
        List.of(),
        request.agent,
        "the endpoint did not resume the event stream: " + reason);
    handleLostResponse(now, effects, request, true);
  }

  // Attempts

  private void handleNotRun(
      long now, List<RoutingEffect> effects, RequestState request, NotRunReason reason) {
    boolean sealedByOtherRequest =
        reason == NotRunReason.SEALED && request.stage == RequestState.Stage.SENT;
    releaseOutstanding(request);
    if (sealedByOtherRequest) {
      // A later request with the same key sealed this attempt and continues with the work.
      refuse(
          effects,
          request,
          Refusal.NOT_RUN,
          "a later request with the same idempotency key took over");
      return;
    }
    if (reason == NotRunReason.DEADLINE) {
      refuse(effects, request, Refusal.NOT_RUN, "the deadline passed in the queue of the agent");
      return;
    }
    request.needsRetryBudget = reason == NotRunReason.ENDPOINT_DOWN;
    if (reason != NotRunReason.BUSY && reason != NotRunReason.SEALED) {
      request.failedAgents.add(request.agent);
    }
    requeue(now, request, reason != NotRunReason.BUSY);
  }

  /**
   * Handles an attempt whose response will not be completed on this connection.
   *
   * @param truncated whether the endpoint itself truncated the response; a seal cannot recover such
   *     a response because the agent does not have the rest either
   */
  private void handleLostResponse(
      long now, List<RoutingEffect> effects, RequestState request, boolean truncated) {
    releaseOutstanding(request);
    if (request.lastEventDelivered) {
      effects.add(new RoutingEffect.CompleteResponse(request.spec.id()));
      recordServed(request, request.eventsDelivered);
      remove(request);
      return;
    }
    if (!request.spec.repeatable()) {
      if (truncated || request.headDelivered) {
        request.mayHaveRun = true;
        refuse(effects, request, Refusal.OUTCOME_UNKNOWN, "the response was truncated");
      } else if (request.stage == RequestState.Stage.SEALING) {
        request.resetResponse();
        request.nextSealAt = now + SEAL_INTERVAL_MILLIS;
      } else {
        sendSeal(now, effects, request);
      }
      return;
    }
    request.mayHaveRun = true;
    if (request.headDelivered && !request.spec.stream()) {
      abort(effects, request, "the response was lost after its head had been delivered");
      return;
    }
    if (request.dispatchCount >= options.maxAttempts()) {
      refuse(
          effects,
          request,
          Refusal.OUTCOME_UNKNOWN,
          "the response was lost and no attempts are left");
      return;
    }
    request.failedAgents.add(request.agent);
    request.needsRetryBudget = true;
    requeue(now, request, true);
  }

  private void sendSeal(long now, List<RoutingEffect> effects, RequestState request) {
    releaseOutstanding(request);
    if (request.stage != RequestState.Stage.SEALING) {
      request.stage = RequestState.Stage.SEALING;
      request.waitingSince = now;
      request.resetResponse();
    }
    request.nextSealAt = now + SEAL_INTERVAL_MILLIS;
    send(effects, request, new ServingMessage.Seal(request.wireId, request.attempt, request.boot));
  }

  /** Attaches a request to the attempt that an earlier request with the same key has claimed. */
  private void joinClaimedAttempt(
      long now, List<RoutingEffect> effects, RequestState request, Claim claim) {
    request.agent = claim.agent();
    request.address = claim.address();
    request.boot = claim.boot();
    request.attempt = claim.attempt();
    bindWireId(request, claim.request());
    logDecision(
        effects,
        "follow",
        request,
        List.of(claim.agent()),
        claim.agent(),
        "the idempotency key is already claimed");
    Optional<Endpoint> endpoint = endpoints.find(claim.agent());
    if (endpoint.isEmpty() || endpoint.get().member.boot() != claim.boot()) {
      refuse(
          effects,
          request,
          Refusal.OUTCOME_UNKNOWN,
          "the agent that received the request is no longer available");
      return;
    }
    sendSeal(now, effects, request);
  }

  private void requeue(long now, RequestState request, boolean withBackoff) {
    if (withBackoff) {
      long maxDelay =
          Math.min(MAX_BACKOFF_MILLIS, BASE_BACKOFF_MILLIS << Math.min(request.attempt, 7));
      request.retryNotBefore = now + random.nextLong(maxDelay);
    }
    request.resetResponse();
    request.stage = RequestState.Stage.QUEUED;
    request.waitingSince = now;
    queueFor(request.spec.target())
        .requeue(
            request.spec.workspace(),
            weightOf(request),
            request.spec.priority(),
            request.spec.cost(),
            request);
  }

  private void enqueue(long now, List<RoutingEffect> effects, RequestState request) {
    request.stage = RequestState.Stage.QUEUED;
    request.waitingSince = now;
    Optional<RequestState> displaced =
        queueFor(request.spec.target())
            .offer(
                request.spec.workspace(),
                weightOf(request),
                request.spec.priority(),
                request.spec.cost(),
                request);
    displaced.ifPresent(
        other -> refuse(effects, other, Refusal.NOT_RUN, "the queue of the target is full"));
  }

  /** Dispatches queued requests in fair order while endpoints have capacity. */
  private void dispatchQueued(long now, List<RoutingEffect> effects) {
    for (Map.Entry<Target, FairQueue<RequestState>> targetQueue : queues.entrySet()) {
      FairQueue<RequestState> queue = targetQueue.getValue();
      while (queue.size() > 0 && endpoints.hasCapacity(targetQueue.getKey(), now)) {
        Optional<RequestState> next =
            queue.poll(
                request -> canDispatch(request, now),
                request -> usage.recordPassedOver(request.spec.workspace()));
        if (next.isEmpty()) {
          break;
        }
        assignEndpoint(now, effects, next.get());
      }
    }
  }

  private boolean canDispatch(RequestState request, long now) {
    return now >= request.retryNotBefore
        && (!request.needsRetryBudget || limits.hasRetryBudget(now, request.spec.target()))
        && !eligibleEndpoints(request, now).isEmpty();
  }

  private List<Endpoint> eligibleEndpoints(RequestState request, long now) {
    Generation required = request.eventsDelivered > 0 ? request.generation : Generation.NONE;
    return endpoints.candidates(request.spec.target(), required, request.failedAgents, now);
  }

  private void assignEndpoint(long now, List<RoutingEffect> effects, RequestState request) {
    List<Endpoint> candidates = eligibleEndpoints(request, now);
    Endpoint endpoint =
        endpoints.choose(request.spec.target(), candidates, request.spec.prefixHash(), now);
    request.agent = endpoint.member.id();
    request.address = endpoint.member.address();
    request.boot = endpoint.member.boot();
    request.generation = endpoint.load.generation();
    request.attempt++;
    if (request.needsRetryBudget) {
      request.needsRetryBudget = false;
      limits.recordRetry(now, request.spec.target());
    }
    endpoints.recordDispatch(endpoint, request.spec.prefixHash(), now);
    request.countedAsOutstanding = true;
    List<String> candidateLoads = new ArrayList<>();
    for (Endpoint candidate : candidates) {
      candidateLoads.add(
          candidate.member.id()
              + ":"
              + candidate.estimatedRequests()
              + "/"
              + candidate.load.limit());
    }
    logDecision(
        effects, "route", request, candidateLoads, request.agent, options.strategy().name());
    if (request.spec.claimRow().isEmpty()) {
      dispatch(now, effects, request);
      return;
    }
    request.stage = RequestState.Stage.CLAIM_WRITE;
    effects.add(
        new RoutingEffect.WriteClaim(
            request.spec.id(),
            request.spec.claimRow(),
            request.claimVersion,
            createClaim(request)));
  }

  private static Claim createClaim(RequestState request) {
    return new Claim(
        request.wireId,
        request.attempt,
        request.agent,
        request.address,
        request.boot,
        request.spec.id(),
        request.spec.fingerprint());
  }

  private void dispatch(long now, List<RoutingEffect> effects, RequestState request) {
    request.stage = RequestState.Stage.SENT;
    if (request.dispatchCount == 0) {
      usage.recordFirstDispatch(request.spec.workspace(), now - request.arrivedAt);
    }
    request.waitingSince = now;
    request.lastFrameAt = now;
    request.dispatchCount++;
    RequestSpec spec = request.spec;
    send(
        effects,
        request,
        new ServingMessage.Dispatch(
            request.wireId,
            request.attempt,
            request.boot,
            request.generation,
            spec.workspace(),
            weightOf(request),
            spec.priority(),
            spec.cost(),
            spec.repeatable(),
            spec.stream(),
            request.eventsDelivered,
            Math.max(1, spec.deadline() - now),
            spec.method(),
            spec.path(),
            spec.contentType(),
            spec.body()));
  }

  // Timeouts

  private void checkTimeouts(long now, List<RoutingEffect> effects, RequestState request) {
    switch (request.stage) {
      case QUEUED:
        boolean targetUnserved =
            now - request.waitingSince >= options.noEndpointTimeoutMillis()
                && !endpoints.isServed(request.spec.target());
        boolean waitLimitReached =
            request.attempt == 0 && now - request.waitingSince >= options.maxWaitMillis();
        if (targetUnserved) {
          refuse(effects, request, Refusal.NOT_RUN, "no endpoint serves the target");
        } else if (now >= request.spec.deadline()
            || waitLimitReached && endpoints.isServed(request.spec.target())) {
          refuse(
              effects,
              request,
              Refusal.NOT_RUN,
              "no endpoint had capacity before the wait limit or the deadline");
        }
        break;
      case SEALING:
        if (now - request.waitingSince >= options.sealTimeoutMillis() && !request.headReceived) {
          refuse(effects, request, Refusal.OUTCOME_UNKNOWN, "the agent did not answer the seal");
        } else if (now >= request.nextSealAt && !request.headReceived) {
          sendSeal(now, effects, request);
        } else if (now >= request.spec.deadline()) {
          refuse(effects, request, Refusal.OUTCOME_UNKNOWN, "the deadline passed during the seal");
        }
        break;
      case SENT:
        if (now >= request.spec.deadline()) {
          send(effects, request, new ServingMessage.Cancel(request.wireId, request.attempt));
          refuse(
              effects,
              request,
              Refusal.OUTCOME_UNKNOWN,
              "the deadline passed after the request was sent");
        } else if (now - request.lastFrameAt >= FRAME_TIMEOUT_MILLIS && isLost(now, request)) {
          if (request.spec.repeatable()) {
            send(effects, request, new ServingMessage.Cancel(request.wireId, request.attempt));
          }
          handleLostResponse(now, effects, request, false);
        }
        break;
      default:
        if (now >= request.spec.deadline()) {
          // The claim row may exist already, but the request was not sent to any agent.
          refuse(
              effects, request, Refusal.NOT_RUN, "the deadline passed before the request was sent");
        }
        break;
    }
  }

  /**
   * Returns whether the response to a silent attempt counts as lost. Its agent may be sound and
   * about to go on while it is only suspected, so the attempt is then given up only for something
   * better: the seal of a request without a response, or another agent that can take it now.
   */
  private boolean isLost(long now, RequestState request) {
    Optional<Endpoint> endpoint = endpoints.find(request.agent);
    if (endpoint.isEmpty() || endpoint.get().health == Health.DEAD) {
      return true;
    }
    if (endpoint.get().health == Health.ALIVE) {
      return false;
    }
    if (!request.spec.repeatable()) {
      return !request.headDelivered;
    }
    return (request.spec.stream() || !request.headDelivered)
        && request.dispatchCount < options.maxAttempts()
        && limits.hasRetryBudget(now, request.spec.target())
        && eligibleEndpoints(request, now).stream()
            .anyMatch(e -> !e.member.id().equals(request.agent));
  }

  private void requestLoad(long now, List<RoutingEffect> effects, Endpoint endpoint) {
    if (now >= endpoint.backoffUntil) {
      endpoint.backoffUntil = now + ENDPOINT_BACKOFF_MILLIS;
      effects.add(
          new RoutingEffect.Send(
              endpoint.member.id(), endpoint.member.address(), new ControlMessage.LoadRequest()));
    }
  }

  // Outcomes

  private void abort(List<RoutingEffect> effects, RequestState request, String reason) {
    effects.add(new RoutingEffect.AbortResponse(request.spec.id(), reason));
    usage.recordFailure(request.spec.workspace(), false);
    logDecision(effects, "cut", request, List.of(request.agent), "", reason);
    remove(request);
  }

  private void refuse(
      List<RoutingEffect> effects, RequestState request, Refusal refusal, String reason) {
    if (request.headDelivered) {
      abort(effects, request, reason);
      return;
    }
    remove(request);
    boolean outcomeUnknown = refusal == Refusal.NOT_RUN && request.mayHaveRun;
    refuse(effects, request.spec, outcomeUnknown ? Refusal.OUTCOME_UNKNOWN : refusal, reason);
  }

  private void refuse(
      List<RoutingEffect> effects, RequestSpec spec, Refusal refusal, String reason) {
    effects.add(new RoutingEffect.Refuse(spec.id(), refusal, reason, RETRY_AFTER_SECONDS));
    usage.recordFailure(spec.workspace(), refusal != Refusal.OUTCOME_UNKNOWN);
    effects.add(
        new RoutingEffect.Log(
            new Decision(
                "refuse",
                spec.id(),
                spec.workspace(),
                List.of(),
                refusal.name(),
                reason,
                rulesInForce.version())));
  }

  private void refuseTableUnavailable(List<RoutingEffect> effects, RequestState request) {
    refuse(
        effects,
        request,
        Refusal.NOT_RUN,
        "the idempotency key cannot be claimed: the table service is unavailable");
  }

  // Helpers

  private void backOff(long now, String agent) {
    Optional<Endpoint> endpoint = endpoints.find(agent);
    if (endpoint.isPresent()) {
      endpoint.get().backoffUntil = now + ENDPOINT_BACKOFF_MILLIS;
      endpoint.get().load = null;
    }
  }

  private FairQueue<RequestState> queueFor(Target target) {
    return queues.computeIfAbsent(target, t -> new FairQueue<>(options.queueCapacity()));
  }

  private int weightOf(RequestState request) {
    return rulesInForce.weight(request.spec.workspace());
  }

  private void applyLoadReport(String agent, Load load) {
    endpoints.find(agent).ifPresent(endpoint -> endpoint.applyLoadReport(load));
  }

  private void bindWireId(RequestState request, String wireId) {
    unbindWireId(request);
    request.wireId = wireId;
    requestsByWireId.computeIfAbsent(wireId, id -> new ArrayList<>()).add(request);
  }

  private void unbindWireId(RequestState request) {
    List<RequestState> bound = requestsByWireId.get(request.wireId);
    if (bound != null && bound.remove(request) && bound.isEmpty()) {
      requestsByWireId.remove(request.wireId);
    }
  }

  /** Finds the requests that wait for a message; messages of older attempts match none. */
  private List<RequestState> requestsAwaitingMessage(ServingMessage message, String agent) {
    List<RequestState> found = new ArrayList<>();
    for (RequestState request : requestsByWireId.getOrDefault(message.request(), List.of())) {
      boolean awaitsAgent =
          request.stage == RequestState.Stage.SENT || request.stage == RequestState.Stage.SEALING;
      if (awaitsAgent && request.attempt == message.attempt() && request.agent.equals(agent)) {
        found.add(request);
      }
    }
    return found;
  }

  private List<RequestState> requestsAwaitingAgent(String agent) {
    List<RequestState> found = new ArrayList<>();
    for (RequestState request : requests.values()) {
      boolean awaitsAgent =
          request.stage == RequestState.Stage.SENT || request.stage == RequestState.Stage.SEALING;
      if (awaitsAgent && request.agent.equals(agent)) {
        found.add(request);
      }
    }
    return found;
  }

  private void releaseOutstanding(RequestState request) {
    if (request.countedAsOutstanding) {
      request.countedAsOutstanding = false;
      endpoints
          .find(request.agent)
          .ifPresent(
              endpoint ->
                  endpoint.outstandingRequests = Math.max(0, endpoint.outstandingRequests - 1));
    }
  }

  private void remove(RequestState request) {
    if (requests.remove(request.spec.id()) == null) {
      return;
    }
    if (request.stage == RequestState.Stage.QUEUED) {
      queueFor(request.spec.target()).removeIf(queued -> queued == request);
    }
    releaseOutstanding(request);
    unbindWireId(request);
  }

  private static void send(List<RoutingEffect> effects, RequestState request, Message message) {
    effects.add(new RoutingEffect.Send(request.agent, request.address, message));
  }

  private void logDecision(
      List<RoutingEffect> effects,
      String kind,
      RequestState request,
      List<String> candidates,
      String choice,
      String reason) {
    effects.add(
        new RoutingEffect.Log(
            new Decision(
                kind,
                request.spec.id(),
                request.spec.workspace(),
                candidates,
                choice,
                reason,
                rulesInForce.version())));
  }
}
