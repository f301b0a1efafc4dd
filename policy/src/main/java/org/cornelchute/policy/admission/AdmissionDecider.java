package org.cornelchute.policy.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelchute.core.log.Decision;
import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.message.ServingMessage;
import org.cornelchute.core.message.ServingMessage.Dispatch;
import org.cornelchute.core.message.ServingMessage.NotRunReason;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Load;
import org.cornelchute.policy.fairness.FairQueue;
import org.cornelchute.policy.rules.Rules;

/**
 * Decides whether each request to one endpoint is forwarded, queued or refused.
 *
 * <p>It limits the number of concurrent requests, keeps a short queue, and retains the outcome of
 * requests that are not safe to repeat. It reports an attempt as not run only if the endpoint did
 * not start it and the agent will not forward it afterwards.
 */
public final class AdmissionDecider {

  /** HTTP statuses with which a model engine refuses a request before it starts to run it. */
  private static final Set<Integer> OVERLOAD_STATUSES = Set.of(429, 503);

  private static final long MIN_BROADCAST_INTERVAL_MILLIS = 1_000;

  private final String member;
  private final long boot;
  private final boolean engine;
  private final AdmissionOptions options;
  private final ConcurrencyLimit limit;
  private final FairQueue<Attempt> queue;
  private final Map<AttemptKey, Attempt> attempts = new HashMap<>();
  private final Set<Long> connectionsAwaitingCapacity = new LinkedHashSet<>();
  private Rules rules = Rules.NONE;
  private Generation generation = Generation.NONE;
  private boolean serving;
  private boolean leaving;
  private boolean domainOutOfService;
  private String endpointIncarnation = "";
  private int runningCount;
  private Load lastBroadcastLoad;
  private long nextBroadcastAt;

  /**
   * Creates a decider that accepts no requests until the rules and the served generation are set.
   *
   * @param member id of this agent
   * @param boot incarnation of this agent
   * @param engine whether the endpoint is a model engine rather than a plain service
   * @param options admission limits
   */
  public AdmissionDecider(String member, long boot, boolean engine, AdmissionOptions options) {
    this.member = member;
    this.boot = boot;
    this.engine = engine;
    this.options = options;
    this.limit =
        new ConcurrencyLimit(
            options.coldLimit(), options.warmLimit(), options.completionsPerStep());
    this.queue = new FairQueue<>(options.queueCapacity());
  }

  // Accessors

  /** Returns the load that the agent reports to entries. */
  public Load load() {
    return new Load(limit.limit(), runningCount, queue.size(), isAccepting(), generation, boot);
  }

  /** Returns the number of forwarded requests whose answers have not ended. */
  public int runningCount() {
    return runningCount;
  }

  /** Returns whether no request is running or queued. */
  public boolean isIdle() {
    return runningCount == 0 && queue.size() == 0;
  }

  // Inputs from entries

  /** Handles a request from an entry, which is forwarded, queued or refused. */
  public List<AdmissionEffect> onDispatch(long now, long connection, Dispatch dispatch) {
    List<AdmissionEffect> effects = new ArrayList<>();
    AttemptKey key = new AttemptKey(dispatch.request(), dispatch.attempt());
    Attempt existing = attempts.get(key);
    if (existing != null && existing.stage == Attempt.Stage.SEALED) {
      refuse(effects, connection, dispatch, NotRunReason.SEALED);
      return effects;
    }
    if (existing != null) {
      // A duplicate must not run the request a second time; the connection gets the same answer.
      attachListener(effects, connection, existing);
      return effects;
    }
    Optional<NotRunReason> reason = findRefusal(dispatch);
    if (reason.isPresent()) {
      refuse(effects, connection, dispatch, reason.get());
      return effects;
    }
    Attempt attempt =
        new Attempt(key, dispatch, now + dispatch.remainingMillis(), Attempt.Stage.QUEUED);
    attempt.listeners.add(connection);
    attempts.put(key, attempt);
    Optional<Attempt> displaced =
        queue.offer(
            dispatch.workspace(), dispatch.weight(), dispatch.priority(), dispatch.cost(), attempt);
    displaced.ifPresent(x -> refuseQueued(effects, x, NotRunReason.BUSY));
    forwardQueued(now, effects);
    return effects;
  }

  /** Handles an entry's notice that the caller no longer waits for the answer. */
  public List<AdmissionEffect> onCancel(long now, ServingMessage.Cancel cancel) {
    List<AdmissionEffect> effects = new ArrayList<>();
    Attempt attempt = attempts.get(new AttemptKey(cancel.request(), cancel.attempt()));
    if (attempt != null) {
      abandon(effects, attempt);
    }
    forwardQueued(now, effects);
    return effects;
  }

  /**
   * Reports the outcome of an attempt, and prevents one that has not been forwarded from running.
   *
   * <p>Attempts are kept in memory only, so the outcome of an attempt that was sent to an earlier
   * incarnation of the agent is unknown.
   */
  public List<AdmissionEffect> onSeal(long now, long connection, ServingMessage.Seal seal) {
    List<AdmissionEffect> effects = new ArrayList<>();
    if (seal.boot() != boot) {
      reply(
          effects,
          connection,
          new ServingMessage.OutcomeUnknown(seal.request(), seal.attempt(), load()));
      return effects;
    }
    AttemptKey key = new AttemptKey(seal.request(), seal.attempt());
    Attempt attempt = attempts.get(key);
    if (attempt == null || attempt.stage == Attempt.Stage.QUEUED) {
      if (attempt != null) {
        queue.removeIf(x -> x == attempt);
        refuseQueued(effects, attempt, NotRunReason.SEALED);
      }
      Attempt tombstone = new Attempt(key, null, now, Attempt.Stage.SEALED);
      tombstone.endedAt = now;
      attempts.put(key, tombstone);
    }
    if (attempts.get(key).stage == Attempt.Stage.SEALED) {
      reply(
          effects,
          connection,
          new ServingMessage.NotRun(seal.request(), seal.attempt(), NotRunReason.SEALED, load()));
      return effects;
    }
    attachListener(effects, connection, attempts.get(key));
    return effects;
  }

  /**
   * Handles the loss of an entry's connection. Attempts that have no other listener are canceled,
   * except running ones that are not safe to repeat.
   */
  public List<AdmissionEffect> onEntryConnectionLost(long now, long connection) {
    List<AdmissionEffect> effects = new ArrayList<>();
    connectionsAwaitingCapacity.remove(connection);
    for (Attempt attempt : new ArrayList<>(attempts.values())) {
      if (attempt.listeners.remove(connection) && attempt.listeners.isEmpty()) {
        abandon(effects, attempt);
      }
    }
    forwardQueued(now, effects);
    return effects;
  }

  /** Reports the load to an entry that has just connected. */
  public List<AdmissionEffect> onLoadRequest(long connection) {
    List<AdmissionEffect> effects = new ArrayList<>();
    reply(effects, connection, new ControlMessage.LoadReport(member, load()));
    return effects;
  }

  // Inputs from the endpoint

  /**
   * Handles the head of the endpoint's answer.
   *
   * <p>An overload status from a model engine means that the request did not run. An answer from
   * another manifest than that of the requested generation is discarded, because it was generated
   * with other weights than the entry requested.
   */
  public List<AdmissionEffect> onAnswerHead(
      long now, AttemptKey key, int status, String contentType, String manifest) {
    List<AdmissionEffect> effects = new ArrayList<>();
    Attempt attempt = findRunning(key);
    if (attempt == null) {
      return effects;
    }
    if (engine && OVERLOAD_STATUSES.contains(status)) {
      limit.onOverload();
      effects.add(new AdmissionEffect.Abort(key));
      markEnded(now, attempt);
      attempts.remove(key);
      replyNotRun(effects, attempt, NotRunReason.BUSY);
      forwardQueued(now, effects);
      return effects;
    }
    if (engine && status < 400 && !manifest.equals(attempt.dispatch.generation().manifest())) {
      effects.add(new AdmissionEffect.Abort(key));
      effects.add(
          new AdmissionEffect.RecheckEndpoint(
              "endpoint answered from unexpected manifest '" + manifest + "'"));
      finishAnswer(now, effects, attempt, false, 0);
      return effects;
    }
    attempt.lastPartAt = now;
    ServingMessage head =
        new ServingMessage.AnswerHead(
            key.request(), key.attempt(), status, contentType, attempt.dispatch.generation());
    attempt.recordForReplay(head, contentType.length(), options.maxRecordedAnswerBytes());
    replyToListeners(effects, attempt, head);
    return effects;
  }

  /** Handles a part of the endpoint's answer. */
  public List<AdmissionEffect> onAnswerPart(long now, AttemptKey key, byte[] bytes) {
    List<AdmissionEffect> effects = new ArrayList<>();
    Attempt attempt = findRunning(key);
    if (attempt == null) {
      return effects;
    }
    ServingMessage part =
        new ServingMessage.AnswerPart(key.request(), key.attempt(), attempt.partCount++, bytes);
    attempt.answerBytes += bytes.length;
    attempt.recordForReplay(part, bytes.length, options.maxRecordedAnswerBytes());
    replyToListeners(effects, attempt, part);
    if (engine && attempt.partCount > 1 && limit.observeGap(now - attempt.lastPartAt)) {
      limit.resetToCold();
      log(
          effects,
          "cold",
          key.request(),
          attempt.dispatch.workspace(),
          "time between tokens increased; concurrency limit reset to cold value");
    }
    attempt.lastPartAt = now;
    return effects;
  }

  /** Handles the end of the endpoint's answer; {@code complete} is false if it was truncated. */
  public List<AdmissionEffect> onAnswerEnd(long now, AttemptKey key, boolean complete, int tokens) {
    List<AdmissionEffect> effects = new ArrayList<>();
    Attempt attempt = findRunning(key);
    if (attempt == null) {
      return effects;
    }
    finishAnswer(now, effects, attempt, complete, tokens);
    return effects;
  }

  /** Handles a connection refused by the endpoint, which means that the request did not run. */
  public List<AdmissionEffect> onEndpointConnectionRefused(long now, AttemptKey key) {
    List<AdmissionEffect> effects = new ArrayList<>();
    Attempt attempt = findRunning(key);
    if (attempt == null) {
      return effects;
    }
    limit.onOverload();
    markEnded(now, attempt);
    attempts.remove(key);
    replyNotRun(effects, attempt, NotRunReason.ENDPOINT_DOWN);
    effects.add(new AdmissionEffect.RecheckEndpoint("endpoint refused the connection"));
    forwardQueued(now, effects);
    return effects;
  }

  // Inputs from the control plane

  /**
   * Sets the generation that the endpoint serves.
   *
   * @param ready whether the endpoint serves a generation
   * @param confirmed generation that the endpoint has confirmed
   */
  public List<AdmissionEffect> setServing(long now, boolean ready, Generation confirmed) {
    boolean changed = ready != serving || !confirmed.equals(generation);
    if (ready && changed) {
      limit.resetToCold();
    }
    serving = ready;
    generation = confirmed;
    List<AdmissionEffect> effects = new ArrayList<>();
    refuseUnservableQueued(effects);
    forwardQueued(now, effects);
    broadcastIfChanged(now, effects, true);
    return effects;
  }

  /**
   * Handles a status report of the endpoint.
   *
   * @param incarnation boot id of the engine; a changed id means that the engine has restarted and
   *     is cold
   * @param capacity number of concurrent requests that the engine reports it can run, 0 if it
   *     reports none
   */
  public List<AdmissionEffect> onEndpointStatus(long now, String incarnation, int capacity) {
    List<AdmissionEffect> effects = new ArrayList<>();
    if (!incarnation.equals(endpointIncarnation)) {
      if (!endpointIncarnation.isEmpty()) {
        limit.resetToCold();
        log(
            effects,
            "cold",
            incarnation,
            "",
            "endpoint restarted; concurrency limit reset to cold value");
      }
      endpointIncarnation = incarnation;
    }
    limit.setReportedCapacity(capacity);
    forwardQueued(now, effects);
    broadcastIfChanged(now, effects, false);
    return effects;
  }

  /**
   * Sets the rules in force.
   *
   * @param adopted rules in force
   * @param ownDomainOutOfService whether they take the agent's failure domain out of service
   */
  public List<AdmissionEffect> setRules(long now, Rules adopted, boolean ownDomainOutOfService) {
    List<AdmissionEffect> effects = new ArrayList<>();
    rules = adopted;
    domainOutOfService = ownDomainOutOfService;
    refuseUnservableQueued(effects);
    forwardQueued(now, effects);
    broadcastIfChanged(now, effects, true);
    return effects;
  }

  /** Stops accepting requests permanently and refuses queued ones; running requests complete. */
  public List<AdmissionEffect> leave(long now) {
    List<AdmissionEffect> effects = new ArrayList<>();
    leaving = true;
    refuseUnservableQueued(effects);
    broadcastIfChanged(now, effects, true);
    return effects;
  }

  /** Refuses queued requests whose deadline has passed and evicts expired outcomes. */
  public List<AdmissionEffect> tick(long now) {
    List<AdmissionEffect> effects = new ArrayList<>();
    for (Attempt expired : queue.removeIf(a -> now >= a.deadline)) {
      refuseQueued(effects, expired, NotRunReason.DEADLINE);
    }
    Iterator<Attempt> iterator = attempts.values().iterator();
    while (iterator.hasNext()) {
      Attempt attempt = iterator.next();
      boolean ended = attempt.stage == Attempt.Stage.ENDED || attempt.stage == Attempt.Stage.SEALED;
      if (ended && now - attempt.endedAt >= options.outcomeRetentionMillis()) {
        iterator.remove();
      }
    }
    forwardQueued(now, effects);
    broadcastIfChanged(now, effects, false);
    return effects;
  }

  // Helpers

  private boolean isAccepting() {
    return serving && !leaving && !domainOutOfService && rules.version() > 0;
  }

  private Optional<NotRunReason> findRefusal(Dispatch dispatch) {
    if (dispatch.boot() != boot) {
      return Optional.of(NotRunReason.OTHER_INCARNATION);
    }
    if (leaving) {
      return Optional.of(NotRunReason.LEAVING);
    }
    if (rules.version() == 0) {
      return Optional.of(NotRunReason.NO_RULES);
    }
    if (domainOutOfService) {
      return Optional.of(NotRunReason.DOMAIN_OUT);
    }
    if (!serving || !dispatch.generation().equals(generation)) {
      return Optional.of(NotRunReason.GENERATION);
    }
    return Optional.empty();
  }

  /** Forwards queued requests up to the concurrency limit. */
  private void forwardQueued(long now, List<AdmissionEffect> effects) {
    while (runningCount < limit.limit() && isAccepting()) {
      Optional<Attempt> next = queue.poll(a -> true);
      if (next.isEmpty()) {
        break;
      }
      Attempt attempt = next.get();
      if (now >= attempt.deadline) {
        refuseQueued(effects, attempt, NotRunReason.DEADLINE);
        continue;
      }
      attempt.stage = Attempt.Stage.DISPATCHED;
      attempt.lastPartAt = now;
      runningCount++;
      effects.add(new AdmissionEffect.Forward(attempt.key, attempt.dispatch));
    }
    if (runningCount < limit.limit()
        && queue.size() == 0
        && !connectionsAwaitingCapacity.isEmpty()) {
      // Tells the entries that were refused with BUSY that the endpoint has capacity again.
      for (long connection : connectionsAwaitingCapacity) {
        reply(effects, connection, new ControlMessage.LoadReport(member, load()));
      }
      connectionsAwaitingCapacity.clear();
    }
  }

  private void finishAnswer(
      long now, List<AdmissionEffect> effects, Attempt attempt, boolean complete, int tokens) {
    if (complete) {
      limit.onCompletion();
    } else {
      limit.onOverload();
    }
    markEnded(now, attempt);
    ServingMessage answerEnd =
        new ServingMessage.AnswerEnd(
            attempt.key.request(),
            attempt.key.attempt(),
            attempt.partCount,
            attempt.answerBytes,
            complete,
            tokens,
            load());
    attempt.recordForReplay(answerEnd, 0, options.maxRecordedAnswerBytes());
    replyToListeners(effects, attempt, answerEnd);
    if (!attempt.mustRetainOutcome()) {
      attempts.remove(attempt.key);
    }
    forwardQueued(now, effects);
  }

  private void markEnded(long now, Attempt attempt) {
    runningCount--;
    attempt.stage = Attempt.Stage.ENDED;
    attempt.endedAt = now;
  }

  private Attempt findRunning(AttemptKey key) {
    Attempt attempt = attempts.get(key);
    return attempt != null && attempt.stage == Attempt.Stage.DISPATCHED ? attempt : null;
  }

  /** Adds a listener to an attempt and sends it the answer recorded so far. */
  private void attachListener(List<AdmissionEffect> effects, long connection, Attempt attempt) {
    attempt.listeners.add(connection);
    if (attempt.stage == Attempt.Stage.QUEUED) {
      return;
    }
    if (attempt.dispatch.repeatable() || !attempt.recording) {
      reply(
          effects,
          connection,
          new ServingMessage.OutcomeUnknown(attempt.key.request(), attempt.key.attempt(), load()));
      return;
    }
    if (attempt.recordedMessages.isEmpty()) {
      reply(
          effects,
          connection,
          new ServingMessage.Running(attempt.key.request(), attempt.key.attempt()));
    }
    for (ServingMessage message : attempt.recordedMessages) {
      reply(effects, connection, message);
    }
  }

  /** Cancels an attempt whose answer nobody awaits, unless it is running and not safe to repeat. */
  private void abandon(List<AdmissionEffect> effects, Attempt attempt) {
    if (attempt.stage == Attempt.Stage.QUEUED) {
      queue.removeIf(x -> x == attempt);
      refuseQueued(effects, attempt, NotRunReason.CANCELLED);
    } else if (attempt.stage == Attempt.Stage.DISPATCHED && attempt.dispatch.repeatable()) {
      runningCount--;
      attempt.stage = Attempt.Stage.ENDED;
      attempts.remove(attempt.key);
      effects.add(new AdmissionEffect.Abort(attempt.key));
    }
  }

  /**
   * Refuses queued requests that can no longer run: those for another generation, or all of them
   * while no requests are accepted.
   */
  private void refuseUnservableQueued(List<AdmissionEffect> effects) {
    if (isAccepting()) {
      for (Attempt attempt : queue.removeIf(x -> !x.dispatch.generation().equals(generation))) {
        refuseQueued(effects, attempt, NotRunReason.GENERATION);
      }
      return;
    }
    NotRunReason reason =
        leaving
            ? NotRunReason.LEAVING
            : domainOutOfService ? NotRunReason.DOMAIN_OUT : NotRunReason.GENERATION;
    for (Attempt attempt : queue.removeIf(x -> true)) {
      refuseQueued(effects, attempt, reason);
    }
  }

  private void refuseQueued(List<AdmissionEffect> effects, Attempt attempt, NotRunReason reason) {
    attempts.remove(attempt.key);
    replyNotRun(effects, attempt, reason);
  }

  private void replyNotRun(List<AdmissionEffect> effects, Attempt attempt, NotRunReason reason) {
    if (reason == NotRunReason.BUSY) {
      connectionsAwaitingCapacity.addAll(attempt.listeners);
    }
    replyToListeners(
        effects,
        attempt,
        new ServingMessage.NotRun(attempt.key.request(), attempt.key.attempt(), reason, load()));
    log(effects, "refuse", attempt.key.request(), attempt.dispatch.workspace(), reason.name());
  }

  private void refuse(
      List<AdmissionEffect> effects, long connection, Dispatch dispatch, NotRunReason reason) {
    reply(
        effects,
        connection,
        new ServingMessage.NotRun(dispatch.request(), dispatch.attempt(), reason, load()));
    log(effects, "refuse", dispatch.request(), dispatch.workspace(), reason.name());
  }

  private void broadcastIfChanged(long now, List<AdmissionEffect> effects, boolean ignoreInterval) {
    Load load = load();
    boolean changed =
        lastBroadcastLoad == null
            || load.limit() != lastBroadcastLoad.limit()
            || load.ready() != lastBroadcastLoad.ready()
            || !load.generation().equals(lastBroadcastLoad.generation());
    if (changed && (ignoreInterval || now >= nextBroadcastAt)) {
      lastBroadcastLoad = load;
      nextBroadcastAt = now + MIN_BROADCAST_INTERVAL_MILLIS;
      effects.add(new AdmissionEffect.BroadcastLoad(load));
    }
  }

  private static void replyToListeners(
      List<AdmissionEffect> effects, Attempt attempt, Message message) {
    for (long connection : new HashSet<>(attempt.listeners)) {
      reply(effects, connection, message);
    }
  }

  private static void reply(List<AdmissionEffect> effects, long connection, Message message) {
    effects.add(new AdmissionEffect.Reply(connection, message));
  }

  private void log(
      List<AdmissionEffect> effects, String kind, String subject, String workspace, String reason) {
    effects.add(
        new AdmissionEffect.Log(
            new Decision(kind, subject, workspace, List.of(member), "", reason, rules.version())));
  }
}
