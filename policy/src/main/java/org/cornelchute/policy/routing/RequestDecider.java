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
 * Brings every request of one entry to exactly one outcome: a whole answer, a refusal that is true,
 * an answer visibly cut off, or the word that the outcome is unknown.
 *
 * <p>A request that may not be repeated goes to one agent under one identity. If that agent's
 * answer is lost, the entry does not send it again but asks the agent to seal it: either it ran and
 * the agent replays the answer, or it never will run. The rule that only work certain not to have
 * run, or marked as repeatable, is retried follows the reading on automatic retries of durable
 * objects; the seal goes beyond it, since there the caller gets the error of the first attempt.
 */
public final class RequestDecider {

  private static final long SEAL_INTERVAL_MILLIS = 250;
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
   * Creates a decider that knows no rules and no endpoints.
   *
   * @param self member id of this entry
   * @param region region it stands in
   * @param options limits
   * @param seed seed of the random choices
   */
  public RequestDecider(String self, String region, RoutingOptions options, long seed) {
    this.options = options;
    this.endpoints = new EndpointTable(self, region, options, seed);
    this.random = new Random(seed);
    this.limits = new RequestLimits(options.retryRatio());
    this.responses = new ResponseAssembler(options.maxBufferedBytes());
  }

  // Accessors

  /** Returns the number of requests without an outcome. */
  public int openRequestCount() {
    return requests.size();
  }

  /** Returns the number of requests waiting for an endpoint. */
  public int queuedRequestCount() {
    int n = 0;
    for (FairQueue<RequestState> q : queues.values()) {
      n += q.size();
    }
    return n;
  }

  /** Returns what each workspace was given since the start. */
  public List<WorkspaceUsage> workspaceUsage() {
    return usage.snapshot(rulesInForce);
  }

  /** Returns whether the entry knows any rules. */
  public boolean isReady() {
    return rulesInForce.version() > 0 && !leaving;
  }

  // Inputs from callers

  /** Handles a new request. */
  public List<RoutingEffect> onRequest(long now, RequestSpec spec) {
    List<RoutingEffect> effects = new ArrayList<>();
    if (!isReady()) {
      refuse(effects, spec, Refusal.NOT_RUN, leaving ? "entry is leaving" : "no rules known yet");
      return effects;
    }
    if (!limits.tryAcquire(now, rulesInForce, spec.workspace(), liveEntries.size())) {
      refuse(effects, spec, Refusal.RATE_LIMITED, "workspace is above its rate limit");
      return effects;
    }
    RequestState r = new RequestState(spec, now);
    requests.put(spec.id(), r);
    limits.recordNewRequest(now, spec.target());
    if (spec.claimRow().isEmpty()) {
      bindWireId(r, spec.id());
      enqueue(now, effects, r);
    } else {
      r.stage = RequestState.Stage.CLAIM_READ;
      effects.add(new RoutingEffect.ReadClaim(spec.id(), spec.claimRow()));
    }
    dispatchQueued(now, effects);
    return effects;
  }

  /** Handles a caller that went away: nobody waits for the answer any more. */
  public List<RoutingEffect> onCallerDisconnect(long now, String id) {
    List<RoutingEffect> effects = new ArrayList<>();
    RequestState r = requests.get(id);
    if (r == null) {
      return effects;
    }
    if (r.stage == RequestState.Stage.SENT && r.spec.repeatable()) {
      send(effects, r, new ServingMessage.Cancel(r.wireId, r.attempt));
    }
    remove(r);
    dispatchQueued(now, effects);
    return effects;
  }

  // Inputs from agents

  /** Handles a message from an agent. */
  public List<RoutingEffect> onMessage(long now, String agent, Message message) {
    List<RoutingEffect> effects = new ArrayList<>();
    if (message instanceof ControlMessage.LoadReport m) {
      applyLoadReport(m.member(), m.load());
    } else if (message instanceof ServingMessage.NotRun m) {
      applyLoadReport(agent, m.load());
      if (m.reason() == NotRunReason.BUSY) {
        // The agent says when it has room again; until then only a short pause helps.
        endpoints.find(agent).ifPresent(e -> e.backoffUntil = now + BASE_BACKOFF_MILLIS);
      }
      for (RequestState r : requestsAwaitingMessage(m, agent)) {
        handleNotRun(now, effects, r, m.reason());
      }
    } else if (message instanceof ServingMessage.OutcomeUnknown m) {
      for (RequestState r : requestsAwaitingMessage(m, agent)) {
        refuse(effects, r, Refusal.OUTCOME_UNKNOWN, "the agent cannot tell whether it ran");
      }
    } else if (message instanceof ServingMessage.Running m) {
      for (RequestState r : requestsAwaitingMessage(m, agent)) {
        r.waitingSince = now;
        r.lastFrameAt = now;
      }
    } else if (message instanceof ServingMessage.AnswerHead m) {
      for (RequestState r : requestsAwaitingMessage(m, agent)) {
        if (!responses.acceptHead(now, r, m)) {
          abort(effects, r, "the endpoint did not resume the stream");
        }
      }
    } else if (message instanceof ServingMessage.AnswerPart m) {
      for (RequestState r : requestsAwaitingMessage(m, agent)) {
        responses.acceptPart(now, effects, r, m);
      }
    } else if (message instanceof ServingMessage.AnswerEnd m) {
      applyLoadReport(agent, m.load());
      for (RequestState r : requestsAwaitingMessage(m, agent)) {
        handleResponseEnd(now, effects, r, m);
      }
    }
    dispatchQueued(now, effects);
    return effects;
  }

  /** Handles the loss of the connection to an agent: what became of its requests is not known. */
  public List<RoutingEffect> onConnectionLost(long now, String agent) {
    List<RoutingEffect> effects = new ArrayList<>();
    backOff(now, agent);
    for (RequestState r : requestsAwaitingAgent(agent)) {
      handleLostResponse(now, effects, r, false);
    }
    dispatchQueued(now, effects);
    return effects;
  }

  /** Handles a message that was certainly never sent, as no connection could be made. */
  public List<RoutingEffect> onSendFailure(long now, String agent, Message message) {
    List<RoutingEffect> effects = new ArrayList<>();
    backOff(now, agent);
    if (message instanceof ServingMessage.Dispatch d) {
      for (RequestState r : requestsAwaitingMessage(d, agent)) {
        handleNotRun(now, effects, r, NotRunReason.ENDPOINT_DOWN);
      }
    }
    dispatchQueued(now, effects);
    return effects;
  }

  // Inputs from control

  /** Takes a change of a member. */
  public List<RoutingEffect> updateMember(long now, Member m, Health health) {
    if (m.role() == Role.ENTRY) {
      liveEntries.put(m.id(), m);
      if (health == Health.DEAD || m.leaving()) {
        liveEntries.remove(m.id());
      }
      return List.of();
    }
    endpoints.updateMember(m, health, rulesInForce);
    List<RoutingEffect> effects = new ArrayList<>();
    for (RequestState r : requestsAwaitingAgent(m.id())) {
      boolean gone = health == Health.DEAD || r.boot != m.boot();
      if (gone && r.spec.repeatable()) {
        handleLostResponse(now, effects, r, false);
      } else if (gone) {
        refuse(effects, r, Refusal.OUTCOME_UNKNOWN, "the agent died with the request");
      }
    }
    dispatchQueued(now, effects);
    return effects;
  }

  /** Takes new rules. */
  public List<RoutingEffect> updateRules(long now, Rules adopted) {
    rulesInForce = adopted;
    limits.resetRateLimits();
    endpoints.updateRules(adopted);
    List<RoutingEffect> effects = new ArrayList<>();
    dispatchQueued(now, effects);
    return effects;
  }

  /** Stops taking new requests for good; what is here goes on to its outcome. */
  public void leave() {
    leaving = true;
  }

  /** Advances deadlines, seals and retries. */
  public List<RoutingEffect> tick(long now) {
    List<RoutingEffect> effects = new ArrayList<>();
    for (RequestState r : new ArrayList<>(requests.values())) {
      if (!requests.containsKey(r.spec.id())) {
        continue;
      }
      checkTimeouts(now, effects, r);
    }
    for (Endpoint e : endpoints.usedEndpoints()) {
      if (e.load == null || e.load.boot() != e.member.boot()) {
        requestLoad(now, effects, e);
      }
    }
    dispatchQueued(now, effects);
    return effects;
  }

  // Inputs from the table service

  /** Takes a claim row, or its absence. */
  public List<RoutingEffect> onClaimRead(long now, String id, Optional<Claim> claim, long version) {
    List<RoutingEffect> effects = new ArrayList<>();
    RequestState r = requests.get(id);
    if (r == null) {
      return effects;
    }
    r.claimVersion = version;
    if (claim.isEmpty()) {
      r.attempt = 0;
      bindWireId(r, r.spec.claimRow());
      enqueue(now, effects, r);
    } else if (!claim.get().fingerprint().equals(r.spec.fingerprint())) {
      refuse(effects, r, Refusal.KEY_REUSED, "the idempotency key was used for another request");
    } else if (r.stage == RequestState.Stage.CLAIM_WRITE && claim.get().equals(createClaim(r))) {
      // The write took effect although its answer was lost.
      dispatch(now, effects, r);
    } else {
      joinClaimedAttempt(now, effects, r, claim.get());
    }
    dispatchQueued(now, effects);
    return effects;
  }

  /** Takes the result of writing a claim row: its new version, or why there is none. */
  public List<RoutingEffect> onClaimWritten(long now, String id, Either<Failure, Long> written) {
    List<RoutingEffect> effects = new ArrayList<>();
    RequestState r = requests.get(id);
    if (r == null || r.stage != RequestState.Stage.CLAIM_WRITE) {
      return effects;
    }
    if (written.isRight()) {
      r.claimVersion = written.get();
      dispatch(now, effects, r);
    } else if (written.getLeft().code() == Failure.Code.UNAVAILABLE) {
      refuseTableUnavailable(effects, r);
    } else {
      effects.add(new RoutingEffect.ReadClaim(id, r.spec.claimRow()));
    }
    dispatchQueued(now, effects);
    return effects;
  }

  /** Handles a claim row that could not be read: nothing was sent, so the request did not run. */
  public List<RoutingEffect> onClaimReadFailure(long now, String id) {
    List<RoutingEffect> effects = new ArrayList<>();
    RequestState r = requests.get(id);
    if (r != null) {
      refuseTableUnavailable(effects, r);
      dispatchQueued(now, effects);
    }
    return effects;
  }

  // Answers

  private void handleResponseEnd(
      long now, List<RoutingEffect> effects, RequestState r, ServingMessage.AnswerEnd m) {
    if (responses.acceptEnd(effects, r, m)) {
      queueFor(r.spec.target())
          .adjustCharge(r.spec.workspace(), m.tokens() - r.spec.expectedOutputTokens());
      usage.recordResponse(r.spec.workspace(), m.tokens());
      remove(r);
      return;
    }
    if (m.complete() && r.stage == RequestState.Stage.SEALING) {
      // The end of the first listener's copy; the replay for this one is still to come.
      return;
    }
    handleLostResponse(now, effects, r, true);
  }

  // Attempts

  private void handleNotRun(long now, List<RoutingEffect> effects, RequestState r, NotRunReason reason) {
    boolean sealedByOther = reason == NotRunReason.SEALED && r.stage == RequestState.Stage.SENT;
    releaseOutstanding(r);
    if (sealedByOther) {
      // Another caller with the same key sealed it; that one carries on.
      refuse(effects, r, Refusal.NOT_RUN, "the attempt was sealed by a later caller");
      return;
    }
    if (reason == NotRunReason.DEADLINE) {
      refuse(effects, r, Refusal.NOT_RUN, "deadline passed while waiting");
      return;
    }
    r.needsRetryBudget = reason == NotRunReason.ENDPOINT_DOWN;
    if (reason != NotRunReason.BUSY && reason != NotRunReason.SEALED) {
      r.failedAgents.add(r.agent);
    }
    requeue(now, r, reason != NotRunReason.BUSY);
  }

  /**
   * Handles an attempt whose answer will not come on this connection.
   *
   * @param broken whether the endpoint itself broke the answer off, so that asking has no use
   */
  private void handleLostResponse(long now, List<RoutingEffect> effects, RequestState r, boolean broken) {
    releaseOutstanding(r);
    if (!r.spec.repeatable()) {
      if (broken || r.headDelivered) {
        r.mayHaveRun = true;
        refuse(effects, r, Refusal.OUTCOME_UNKNOWN, "the endpoint broke the answer off");
      } else if (r.stage == RequestState.Stage.SEALING) {
        r.resetResponse();
        r.nextSealAt = now + SEAL_INTERVAL_MILLIS;
      } else {
        sendSeal(now, effects, r);
      }
      return;
    }
    r.mayHaveRun = true;
    if (r.headDelivered && !r.spec.stream()) {
      abort(effects, r, "the answer was lost after its beginning had been delivered");
      return;
    }
    if (r.dispatchCount >= options.maxAttempts()) {
      refuse(effects, r, Refusal.OUTCOME_UNKNOWN, "the answer was lost and retries are spent");
      return;
    }
    r.failedAgents.add(r.agent);
    r.needsRetryBudget = true;
    requeue(now, r, true);
  }

  private void sendSeal(long now, List<RoutingEffect> effects, RequestState r) {
    releaseOutstanding(r);
    if (r.stage != RequestState.Stage.SEALING) {
      r.stage = RequestState.Stage.SEALING;
      r.waitingSince = now;
      r.resetResponse();
    }
    r.nextSealAt = now + SEAL_INTERVAL_MILLIS;
    send(effects, r, new ServingMessage.Seal(r.wireId, r.attempt, r.boot));
  }

  /** Attaches a request to the attempt that an earlier request made under the same key. */
  private void joinClaimedAttempt(long now, List<RoutingEffect> effects, RequestState r, Claim c) {
    r.agent = c.agent();
    r.address = c.address();
    r.boot = c.boot();
    r.attempt = c.attempt();
    bindWireId(r, c.request());
    logDecision(effects, "follow", r, List.of(c.agent()), c.agent(), "idempotency key is claimed");
    Optional<Endpoint> e = endpoints.find(c.agent());
    if (e.isEmpty() || e.get().member.boot() != c.boot()) {
      refuse(effects, r, Refusal.OUTCOME_UNKNOWN, "the agent that had the request is gone");
      return;
    }
    sendSeal(now, effects, r);
  }

  private void requeue(long now, RequestState r, boolean backOff) {
    if (backOff) {
      long limit = Math.min(MAX_BACKOFF_MILLIS, BASE_BACKOFF_MILLIS << Math.min(r.attempt, 7));
      r.retryNotBefore = now + random.nextLong(limit);
    }
    r.resetResponse();
    r.stage = RequestState.Stage.QUEUED;
    r.waitingSince = now;
    queueFor(r.spec.target())
        .requeue(r.spec.workspace(), weightOf(r), r.spec.priority(), r.spec.cost(), r);
  }

  private void enqueue(long now, List<RoutingEffect> effects, RequestState r) {
    r.stage = RequestState.Stage.QUEUED;
    r.waitingSince = now;
    Optional<RequestState> displaced =
        queueFor(r.spec.target())
            .offer(r.spec.workspace(), weightOf(r), r.spec.priority(), r.spec.cost(), r);
    displaced.ifPresent(
        x -> refuse(effects, x, Refusal.NOT_RUN, "the queue of its target is full"));
  }

  /** Sends waiting requests while endpoints have room, in fair order. */
  private void dispatchQueued(long now, List<RoutingEffect> effects) {
    for (Map.Entry<Target, FairQueue<RequestState>> each : queues.entrySet()) {
      FairQueue<RequestState> q = each.getValue();
      while (q.size() > 0 && endpoints.hasCapacity(each.getKey(), now)) {
        Optional<RequestState> next =
            q.poll(r -> canDispatch(r, now), r -> usage.recordPassedOver(r.spec.workspace()));
        if (next.isEmpty()) {
          break;
        }
        assignEndpoint(now, effects, next.get());
      }
    }
  }

  private boolean canDispatch(RequestState r, long now) {
    return now >= r.retryNotBefore
        && (!r.needsRetryBudget || limits.hasRetryBudget(now, r.spec.target()))
        && !eligibleEndpoints(r, now).isEmpty();
  }

  private List<Endpoint> eligibleEndpoints(RequestState r, long now) {
    Generation must = r.eventsDelivered > 0 ? r.generation : Generation.NONE;
    return endpoints.candidates(r.spec.target(), must, r.failedAgents, now);
  }

  private void assignEndpoint(long now, List<RoutingEffect> effects, RequestState r) {
    List<Endpoint> candidates = eligibleEndpoints(r, now);
    Endpoint e = endpoints.choose(r.spec.target(), candidates, r.spec.prefixHash(), now);
    r.agent = e.member.id();
    r.address = e.member.address();
    r.boot = e.member.boot();
    r.generation = e.load.generation();
    r.attempt++;
    if (r.needsRetryBudget) {
      r.needsRetryBudget = false;
      limits.recordRetry(now, r.spec.target());
    }
    endpoints.recordDispatch(e, r.spec.prefixHash(), now);
    r.countedAsOutstanding = true;
    List<String> names = new ArrayList<>();
    for (Endpoint c : candidates) {
      names.add(c.member.id() + ":" + c.estimatedRequests() + "/" + c.load.limit());
    }
    logDecision(effects, "route", r, names, r.agent, options.strategy().name());
    if (r.spec.claimRow().isEmpty()) {
      dispatch(now, effects, r);
      return;
    }
    r.stage = RequestState.Stage.CLAIM_WRITE;
    effects.add(
        new RoutingEffect.WriteClaim(r.spec.id(), r.spec.claimRow(), r.claimVersion, createClaim(r)));
  }

  private static Claim createClaim(RequestState r) {
    return new Claim(
        r.wireId, r.attempt, r.agent, r.address, r.boot, r.spec.id(), r.spec.fingerprint());
  }

  private void dispatch(long now, List<RoutingEffect> effects, RequestState r) {
    r.stage = RequestState.Stage.SENT;
    if (r.dispatchCount == 0) {
      usage.recordFirstDispatch(r.spec.workspace(), now - r.arrivedAt);
    }
    r.waitingSince = now;
    r.lastFrameAt = now;
    r.dispatchCount++;
    RequestSpec s = r.spec;
    send(
        effects,
        r,
        new ServingMessage.Dispatch(
            r.wireId,
            r.attempt,
            r.boot,
            r.generation,
            s.workspace(),
            weightOf(r),
            s.priority(),
            s.cost(),
            s.repeatable(),
            s.stream(),
            r.eventsDelivered,
            Math.max(1, s.deadline() - now),
            s.method(),
            s.path(),
            s.contentType(),
            s.body()));
  }

  // Time

  private void checkTimeouts(long now, List<RoutingEffect> effects, RequestState r) {
    switch (r.stage) {
      case QUEUED:
        boolean hopeless =
            now - r.waitingSince >= options.noEndpointTimeoutMillis()
                && !endpoints.isServed(r.spec.target());
        boolean late = r.attempt == 0 && now - r.waitingSince >= options.maxWaitMillis();
        if (hopeless) {
          refuse(effects, r, Refusal.NOT_RUN, "no endpoint serves its target");
        } else if (now >= r.spec.deadline() || late && endpoints.isServed(r.spec.target())) {
          refuse(effects, r, Refusal.NOT_RUN, "waited as long as it may; endpoints are full");
        }
        break;
      case SEALING:
        if (now - r.waitingSince >= options.sealTimeoutMillis() && !r.headReceived) {
          refuse(effects, r, Refusal.OUTCOME_UNKNOWN, "the agent does not answer");
        } else if (now >= r.nextSealAt && !r.headReceived) {
          sendSeal(now, effects, r);
        } else if (now >= r.spec.deadline()) {
          refuse(effects, r, Refusal.OUTCOME_UNKNOWN, "deadline passed");
        }
        break;
      case SENT:
        if (now >= r.spec.deadline()) {
          send(effects, r, new ServingMessage.Cancel(r.wireId, r.attempt));
          refuse(effects, r, Refusal.OUTCOME_UNKNOWN, "deadline passed while it ran");
        } else if (now - r.lastFrameAt >= FRAME_TIMEOUT_MILLIS && isAgentSuspected(r)) {
          if (r.spec.repeatable()) {
            send(effects, r, new ServingMessage.Cancel(r.wireId, r.attempt));
          }
          handleLostResponse(now, effects, r, false);
        }
        break;
      default:
        if (now >= r.spec.deadline()) {
          // A claim may be written, but the request was not sent to anybody.
          refuse(effects, r, Refusal.NOT_RUN, "deadline passed before it was sent");
        }
        break;
    }
  }

  private boolean isAgentSuspected(RequestState r) {
    Optional<Endpoint> e = endpoints.find(r.agent);
    return e.isEmpty() || e.get().health != Health.ALIVE;
  }

  private void requestLoad(long now, List<RoutingEffect> effects, Endpoint e) {
    if (now >= e.backoffUntil) {
      e.backoffUntil = now + ENDPOINT_BACKOFF_MILLIS;
      effects.add(
          new RoutingEffect.Send(
              e.member.id(), e.member.address(), new ControlMessage.LoadRequest()));
    }
  }

  // Outcomes

  private void abort(List<RoutingEffect> effects, RequestState r, String reason) {
    effects.add(new RoutingEffect.AbortResponse(r.spec.id(), reason));
    usage.recordFailure(r.spec.workspace(), false);
    logDecision(effects, "cut", r, List.of(r.agent), "", reason);
    remove(r);
  }

  private void refuse(List<RoutingEffect> effects, RequestState r, Refusal refusal, String reason) {
    if (r.headDelivered) {
      abort(effects, r, reason);
      return;
    }
    remove(r);
    boolean untrue = refusal == Refusal.NOT_RUN && r.mayHaveRun;
    refuse(effects, r.spec, untrue ? Refusal.OUTCOME_UNKNOWN : refusal, reason);
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

  private void refuseTableUnavailable(List<RoutingEffect> effects, RequestState r) {
    refuse(effects, r, Refusal.NOT_RUN, "the table service is out, so the key cannot be claimed");
  }

  // Helpers

  private void backOff(long now, String agent) {
    Optional<Endpoint> e = endpoints.find(agent);
    if (e.isPresent()) {
      e.get().backoffUntil = now + ENDPOINT_BACKOFF_MILLIS;
      e.get().load = null;
    }
  }

  private FairQueue<RequestState> queueFor(Target target) {
    return queues.computeIfAbsent(target, t -> new FairQueue<>(options.queueCapacity()));
  }

  private int weightOf(RequestState r) {
    return rulesInForce.weight(r.spec.workspace());
  }

  private void applyLoadReport(String agent, Load load) {
    endpoints.find(agent).ifPresent(e -> e.applyLoadReport(load));
  }

  private void bindWireId(RequestState r, String wire) {
    unbindWireId(r);
    r.wireId = wire;
    requestsByWireId.computeIfAbsent(wire, w -> new ArrayList<>()).add(r);
  }

  private void unbindWireId(RequestState r) {
    List<RequestState> same = requestsByWireId.get(r.wireId);
    if (same != null && same.remove(r) && same.isEmpty()) {
      requestsByWireId.remove(r.wireId);
    }
  }

  /** Finds the requests that a message is about; those of an older attempt are passed over. */
  private List<RequestState> requestsAwaitingMessage(ServingMessage m, String agent) {
    List<RequestState> found = new ArrayList<>();
    for (RequestState r : requestsByWireId.getOrDefault(m.request(), List.of())) {
      boolean waits = r.stage == RequestState.Stage.SENT || r.stage == RequestState.Stage.SEALING;
      if (waits && r.attempt == m.attempt() && r.agent.equals(agent)) {
        found.add(r);
      }
    }
    return found;
  }

  private List<RequestState> requestsAwaitingAgent(String agent) {
    List<RequestState> found = new ArrayList<>();
    for (RequestState r : requests.values()) {
      boolean waits = r.stage == RequestState.Stage.SENT || r.stage == RequestState.Stage.SEALING;
      if (waits && r.agent.equals(agent)) {
        found.add(r);
      }
    }
    return found;
  }

  private void releaseOutstanding(RequestState r) {
    if (r.countedAsOutstanding) {
      r.countedAsOutstanding = false;
      endpoints
          .find(r.agent)
          .ifPresent(e -> e.outstandingRequests = Math.max(0, e.outstandingRequests - 1));
    }
  }

  private void remove(RequestState r) {
    if (requests.remove(r.spec.id()) == null) {
      return;
    }
    if (r.stage == RequestState.Stage.QUEUED) {
      queueFor(r.spec.target()).removeIf(x -> x == r);
    }
    releaseOutstanding(r);
    unbindWireId(r);
  }

  private static void send(List<RoutingEffect> effects, RequestState r, Message m) {
    effects.add(new RoutingEffect.Send(r.agent, r.address, m));
  }

  private void logDecision(
      List<RoutingEffect> effects,
      String kind,
      RequestState r,
      List<String> candidates,
      String choice,
      String reason) {
    effects.add(
        new RoutingEffect.Log(
            new Decision(
                kind,
                r.spec.id(),
                r.spec.workspace(),
                candidates,
                choice,
                reason,
                rulesInForce.version())));
  }
}
