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
 * Has the last word on every request to one endpoint.
 *
 * <p>It counts what runs, queues a little, remembers the fate of requests that may not be repeated,
 * and says {@code not run} only of attempts that it never forwarded and never will.
 */
public final class AdmissionDecider {

  /** Statuses by which a model engine refuses work that it has not begun. */
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
  private Rules setRules = Rules.NONE;
  private Generation generation = Generation.NONE;
  private boolean setServing;
  private boolean leaving;
  private boolean domainOutOfService;
  private String endpointIncarnation = "";
  private int runningCount;
  private Load lastBroadcastLoad;
  private long nextBroadcastAt;

  /**
   * Creates a decider that serves nothing yet.
   *
   * @param member id of this agent
   * @param boot incarnation of this agent
   * @param engine whether the endpoint is a model engine and not a plain service
   * @param options limits
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

  /** Returns what is told to entries. */
  public Load load() {
    return new Load(limit.limit(), runningCount, queue.size(), isAccepting(), generation, boot);
  }

  /** Returns the number of requests forwarded and not ended. */
  public int runningCount() {
    return runningCount;
  }

  /** Returns whether nothing runs and nothing waits. */
  public boolean isIdle() {
    return runningCount == 0 && queue.size() == 0;
  }

  // Inputs from entries

  /** Handles a request from an entry. */
  public List<AdmissionEffect> onDispatch(long now, long connection, Dispatch d) {
    List<AdmissionEffect> effects = new ArrayList<>();
    AttemptKey key = new AttemptKey(d.request(), d.attempt());
    Attempt known = attempts.get(key);
    if (known != null && known.stage == Attempt.Stage.SEALED) {
      refuse(effects, connection, d, NotRunReason.SEALED);
      return effects;
    }
    if (known != null) {
      // The same identity again: never a second run, only another listener.
      attachListener(effects, connection, known);
      return effects;
    }
    Optional<NotRunReason> reason = findRefusal(d);
    if (reason.isPresent()) {
      refuse(effects, connection, d, reason.get());
      return effects;
    }
    Attempt a = new Attempt(key, d, now + d.remainingMillis(), Attempt.Stage.QUEUED);
    a.listeners.add(connection);
    attempts.put(key, a);
    Optional<Attempt> displaced = queue.offer(d.workspace(), d.weight(), d.priority(), d.cost(), a);
    displaced.ifPresent(x -> refuseQueued(effects, x, NotRunReason.BUSY));
    forwardQueued(now, effects);
    return effects;
  }

  /** Handles an entry's word that nobody waits any more. */
  public List<AdmissionEffect> onCancel(long now, ServingMessage.Cancel c) {
    List<AdmissionEffect> effects = new ArrayList<>();
    Attempt a = attempts.get(new AttemptKey(c.request(), c.attempt()));
    if (a != null) {
      abandon(effects, a);
    }
    forwardQueued(now, effects);
    return effects;
  }

  /** Tells what became of an attempt and makes sure that one not run never will be. */
  public List<AdmissionEffect> onSeal(long now, long connection, ServingMessage.Seal s) {
    List<AdmissionEffect> effects = new ArrayList<>();
    if (s.boot() != boot) {
      reply(
          effects, connection, new ServingMessage.OutcomeUnknown(s.request(), s.attempt(), load()));
      return effects;
    }
    AttemptKey key = new AttemptKey(s.request(), s.attempt());
    Attempt a = attempts.get(key);
    if (a == null || a.stage == Attempt.Stage.QUEUED) {
      if (a != null) {
        queue.removeIf(x -> x == a);
        refuseQueued(effects, a, NotRunReason.SEALED);
      }
      Attempt tombstone = new Attempt(key, null, now, Attempt.Stage.SEALED);
      tombstone.endedAt = now;
      attempts.put(key, tombstone);
    }
    if (attempts.get(key).stage == Attempt.Stage.SEALED) {
      reply(
          effects,
          connection,
          new ServingMessage.NotRun(s.request(), s.attempt(), NotRunReason.SEALED, load()));
      return effects;
    }
    attachListener(effects, connection, attempts.get(key));
    return effects;
  }

  /** Handles the loss of an entry's connection: work that may be repeated is broken off. */
  public List<AdmissionEffect> onEntryConnectionLost(long now, long connection) {
    List<AdmissionEffect> effects = new ArrayList<>();
    connectionsAwaitingCapacity.remove(connection);
    for (Attempt a : new ArrayList<>(attempts.values())) {
      if (a.listeners.remove(connection) && a.listeners.isEmpty()) {
        abandon(effects, a);
      }
    }
    forwardQueued(now, effects);
    return effects;
  }

  /** Answers an entry that has just connected. */
  public List<AdmissionEffect> onLoadRequest(long connection) {
    List<AdmissionEffect> effects = new ArrayList<>();
    reply(effects, connection, new ControlMessage.LoadReport(member, load()));
    return effects;
  }

  // Inputs from the endpoint

  /** Handles the beginning of an answer. */
  public List<AdmissionEffect> onAnswerHead(
      long now, AttemptKey key, int status, String contentType, String manifest) {
    List<AdmissionEffect> effects = new ArrayList<>();
    Attempt a = findRunning(key);
    if (a == null) {
      return effects;
    }
    if (engine && OVERLOAD_STATUSES.contains(status)) {
      limit.onOverload();
      effects.add(new AdmissionEffect.Abort(key));
      markEnded(now, a);
      attempts.remove(key);
      replyNotRun(effects, a, NotRunReason.BUSY);
      forwardQueued(now, effects);
      return effects;
    }
    if (engine && status < 400 && !manifest.equals(a.dispatch.generation().manifest())) {
      effects.add(new AdmissionEffect.Abort(key));
      effects.add(new AdmissionEffect.RecheckEndpoint("answer from manifest '" + manifest + "'"));
      finishAnswer(now, effects, a, false, 0);
      return effects;
    }
    a.lastPartAt = now;
    ServingMessage head =
        new ServingMessage.AnswerHead(
            key.request(), key.attempt(), status, contentType, a.dispatch.generation());
    a.recordForReplay(head, contentType.length(), options.maxRecordedAnswerBytes());
    replyToListeners(effects, a, head);
    return effects;
  }

  /** Handles a part of an answer. */
  public List<AdmissionEffect> onAnswerPart(long now, AttemptKey key, byte[] bytes) {
    List<AdmissionEffect> effects = new ArrayList<>();
    Attempt a = findRunning(key);
    if (a == null) {
      return effects;
    }
    ServingMessage part =
        new ServingMessage.AnswerPart(key.request(), key.attempt(), a.partCount++, bytes);
    a.answerBytes += bytes.length;
    a.recordForReplay(part, bytes.length, options.maxRecordedAnswerBytes());
    replyToListeners(effects, a, part);
    if (engine && a.partCount > 1 && limit.observeGap(now - a.lastPartAt)) {
      limit.resetToCold();
      log(effects, "cold", key.request(), a.dispatch.workspace(), "gaps between tokens grew");
    }
    a.lastPartAt = now;
    return effects;
  }

  /** Handles the end of an answer; {@code whole} is false if it was cut off. */
  public List<AdmissionEffect> onAnswerEnd(long now, AttemptKey key, boolean whole, int tokens) {
    List<AdmissionEffect> effects = new ArrayList<>();
    Attempt a = findRunning(key);
    if (a == null) {
      return effects;
    }
    finishAnswer(now, effects, a, whole, tokens);
    return effects;
  }

  /** Handles a connection that the endpoint refused: the request certainly did not run. */
  public List<AdmissionEffect> onEndpointConnectionRefused(long now, AttemptKey key) {
    List<AdmissionEffect> effects = new ArrayList<>();
    Attempt a = findRunning(key);
    if (a == null) {
      return effects;
    }
    limit.onOverload();
    markEnded(now, a);
    attempts.remove(key);
    replyNotRun(effects, a, NotRunReason.ENDPOINT_DOWN);
    effects.add(new AdmissionEffect.RecheckEndpoint("connection refused"));
    forwardQueued(now, effects);
    return effects;
  }

  // Inputs from control

  /** Takes what the endpoint serves, once confirmed, or that it serves nothing. */
  public List<AdmissionEffect> setServing(long now, boolean ready, Generation g) {
    boolean changed = ready != setServing || !g.equals(generation);
    if (ready && changed) {
      limit.resetToCold();
    }
    setServing = ready;
    generation = g;
    List<AdmissionEffect> effects = new ArrayList<>();
    refuseUnservableQueued(effects);
    forwardQueued(now, effects);
    broadcastIfChanged(now, effects, true);
    return effects;
  }

  /**
   * Takes a look at the endpoint.
   *
   * @param incarnation boot id of the engine; another one means that it is cold
   * @param capacity requests that it says it can carry, 0 if it does not say
   */
  public List<AdmissionEffect> onEndpointStatus(long now, String incarnation, int capacity) {
    List<AdmissionEffect> effects = new ArrayList<>();
    if (!incarnation.equals(endpointIncarnation)) {
      if (!endpointIncarnation.isEmpty()) {
        limit.resetToCold();
        log(effects, "cold", incarnation, "", "endpoint restarted");
      }
      endpointIncarnation = incarnation;
    }
    limit.setReportedCapacity(capacity);
    forwardQueued(now, effects);
    broadcastIfChanged(now, effects, false);
    return effects;
  }

  /** Takes new rules. */
  public List<AdmissionEffect> setRules(long now, Rules adopted, boolean ownDomainOut) {
    List<AdmissionEffect> effects = new ArrayList<>();
    setRules = adopted;
    domainOutOfService = ownDomainOut;
    refuseUnservableQueued(effects);
    forwardQueued(now, effects);
    broadcastIfChanged(now, effects, true);
    return effects;
  }

  /** Stops taking new work for good; what runs goes on to its end. */
  public List<AdmissionEffect> leave(long now) {
    List<AdmissionEffect> effects = new ArrayList<>();
    leaving = true;
    refuseUnservableQueued(effects);
    broadcastIfChanged(now, effects, true);
    return effects;
  }

  /** Drops what waited past its deadline and forgets old fates. */
  public List<AdmissionEffect> tick(long now) {
    List<AdmissionEffect> effects = new ArrayList<>();
    for (Attempt late : queue.removeIf(a -> now >= a.deadline)) {
      refuseQueued(effects, late, NotRunReason.DEADLINE);
    }
    Iterator<Attempt> all = attempts.values().iterator();
    while (all.hasNext()) {
      Attempt a = all.next();
      boolean over = a.stage == Attempt.Stage.ENDED || a.stage == Attempt.Stage.SEALED;
      if (over && now - a.endedAt >= options.outcomeRetentionMillis()) {
        all.remove();
      }
    }
    forwardQueued(now, effects);
    broadcastIfChanged(now, effects, false);
    return effects;
  }

  // Helpers

  private boolean isAccepting() {
    return setServing && !leaving && !domainOutOfService && setRules.version() > 0;
  }

  private Optional<NotRunReason> findRefusal(Dispatch d) {
    if (d.boot() != boot) {
      return Optional.of(NotRunReason.OTHER_INCARNATION);
    }
    if (leaving) {
      return Optional.of(NotRunReason.LEAVING);
    }
    if (setRules.version() == 0) {
      return Optional.of(NotRunReason.NO_RULES);
    }
    if (domainOutOfService) {
      return Optional.of(NotRunReason.DOMAIN_OUT);
    }
    if (!setServing || !d.generation().equals(generation)) {
      return Optional.of(NotRunReason.GENERATION);
    }
    return Optional.empty();
  }

  /** Forwards as many waiting requests as the endpoint may carry. */
  private void forwardQueued(long now, List<AdmissionEffect> effects) {
    while (runningCount < limit.limit() && isAccepting()) {
      Optional<Attempt> next = queue.poll(a -> true);
      if (next.isEmpty()) {
        break;
      }
      Attempt a = next.get();
      if (now >= a.deadline) {
        refuseQueued(effects, a, NotRunReason.DEADLINE);
        continue;
      }
      a.stage = Attempt.Stage.DISPATCHED;
      a.lastPartAt = now;
      runningCount++;
      effects.add(new AdmissionEffect.Forward(a.key, a.dispatch));
    }
    if (runningCount < limit.limit()
        && queue.size() == 0
        && !connectionsAwaitingCapacity.isEmpty()) {
      for (long connection : connectionsAwaitingCapacity) {
        reply(effects, connection, new ControlMessage.LoadReport(member, load()));
      }
      connectionsAwaitingCapacity.clear();
    }
  }

  private void finishAnswer(
      long now, List<AdmissionEffect> effects, Attempt a, boolean whole, int tokens) {
    if (whole) {
      limit.completed();
    } else {
      limit.onOverload();
    }
    markEnded(now, a);
    ServingMessage last =
        new ServingMessage.AnswerEnd(
            a.key.request(), a.key.attempt(), a.partCount, a.answerBytes, whole, tokens, load());
    a.recordForReplay(last, 0, options.maxRecordedAnswerBytes());
    replyToListeners(effects, a, last);
    if (!a.mustRetainOutcome()) {
      attempts.remove(a.key);
    }
    forwardQueued(now, effects);
  }

  private void markEnded(long now, Attempt a) {
    runningCount--;
    a.stage = Attempt.Stage.ENDED;
    a.endedAt = now;
  }

  private Attempt findRunning(AttemptKey key) {
    Attempt a = attempts.get(key);
    return a != null && a.stage == Attempt.Stage.DISPATCHED ? a : null;
  }

  /** Adds a listener and brings it up to date. */
  private void attachListener(List<AdmissionEffect> effects, long connection, Attempt a) {
    a.listeners.add(connection);
    if (a.stage == Attempt.Stage.QUEUED) {
      return;
    }
    if (a.dispatch.repeatable() || !a.recording) {
      reply(
          effects,
          connection,
          new ServingMessage.OutcomeUnknown(a.key.request(), a.key.attempt(), load()));
      return;
    }
    if (a.recordedMessages.isEmpty()) {
      reply(effects, connection, new ServingMessage.Running(a.key.request(), a.key.attempt()));
    }
    for (ServingMessage m : a.recordedMessages) {
      reply(effects, connection, m);
    }
  }

  /** Handles an attempt that nobody waits for; one that may not be repeated runs to its end. */
  private void abandon(List<AdmissionEffect> effects, Attempt a) {
    if (a.stage == Attempt.Stage.QUEUED) {
      queue.removeIf(x -> x == a);
      refuseQueued(effects, a, NotRunReason.CANCELLED);
    } else if (a.stage == Attempt.Stage.DISPATCHED && a.dispatch.repeatable()) {
      runningCount--;
      a.stage = Attempt.Stage.ENDED;
      attempts.remove(a.key);
      effects.add(new AdmissionEffect.Abort(a.key));
    }
  }

  /** Refuses everything that waits if no new work is taken at present. */
  private void refuseUnservableQueued(List<AdmissionEffect> effects) {
    if (isAccepting()) {
      for (Attempt a : queue.removeIf(x -> !x.dispatch.generation().equals(generation))) {
        refuseQueued(effects, a, NotRunReason.GENERATION);
      }
      return;
    }
    NotRunReason reason =
        leaving
            ? NotRunReason.LEAVING
            : domainOutOfService ? NotRunReason.DOMAIN_OUT : NotRunReason.GENERATION;
    for (Attempt a : queue.removeIf(x -> true)) {
      refuseQueued(effects, a, reason);
    }
  }

  private void refuseQueued(List<AdmissionEffect> effects, Attempt a, NotRunReason reason) {
    attempts.remove(a.key);
    replyNotRun(effects, a, reason);
  }

  private void replyNotRun(List<AdmissionEffect> effects, Attempt a, NotRunReason reason) {
    if (reason == NotRunReason.BUSY) {
      connectionsAwaitingCapacity.addAll(a.listeners);
    }
    replyToListeners(
        effects, a, new ServingMessage.NotRun(a.key.request(), a.key.attempt(), reason, load()));
    log(effects, "refuse", a.key.request(), a.dispatch.workspace(), reason.name());
  }

  private void refuse(
      List<AdmissionEffect> effects, long connection, Dispatch d, NotRunReason reason) {
    reply(effects, connection, new ServingMessage.NotRun(d.request(), d.attempt(), reason, load()));
    log(effects, "refuse", d.request(), d.workspace(), reason.name());
  }

  private void broadcastIfChanged(long now, List<AdmissionEffect> effects, boolean always) {
    Load load = load();
    boolean changed =
        lastBroadcastLoad == null
            || load.limit() != lastBroadcastLoad.limit()
            || load.ready() != lastBroadcastLoad.ready()
            || !load.generation().equals(lastBroadcastLoad.generation());
    if (changed && (always || now >= nextBroadcastAt)) {
      lastBroadcastLoad = load;
      nextBroadcastAt = now + MIN_BROADCAST_INTERVAL_MILLIS;
      effects.add(new AdmissionEffect.BroadcastLoad(load));
    }
  }

  private static void replyToListeners(List<AdmissionEffect> effects, Attempt a, Message m) {
    for (long connection : new HashSet<>(a.listeners)) {
      reply(effects, connection, m);
    }
  }

  private static void reply(List<AdmissionEffect> effects, long connection, Message m) {
    effects.add(new AdmissionEffect.Reply(connection, m));
  }

  private void log(
      List<AdmissionEffect> effects, String kind, String subject, String workspace, String reason) {
    effects.add(
        new AdmissionEffect.Log(
            new Decision(
                kind, subject, workspace, List.of(member), "", reason, setRules.version())));
  }
}
