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
import org.cornelchute.core.message.ServingMessage.Reason;
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

  private static final long BROADCAST_MILLIS = 1_000;

  private final String member;
  private final long boot;
  private final boolean engine;
  private final AdmissionOptions options;
  private final ConcurrencyLimit limit;
  private final FairQueue<Attempt> queue;
  private final Map<AttemptKey, Attempt> ledger = new HashMap<>();
  private final Set<Long> refused = new LinkedHashSet<>();
  private Rules rules = Rules.NONE;
  private Generation generation = Generation.NONE;
  private boolean serving;
  private boolean leaving;
  private boolean domainOut;
  private String engineBoot = "";
  private int running;
  private Load lastBroadcast;
  private long nextBroadcast;

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
    return new Load(limit.limit(), running, queue.size(), accepting(), generation, boot);
  }

  /** Returns the number of requests forwarded and not ended. */
  public int running() {
    return running;
  }

  /** Returns whether nothing runs and nothing waits. */
  public boolean idle() {
    return running == 0 && queue.size() == 0;
  }

  // Inputs from entries

  /** Handles a request from an entry. */
  public List<AdmissionEffect> dispatch(long now, long connection, Dispatch d) {
    List<AdmissionEffect> effects = new ArrayList<>();
    AttemptKey key = new AttemptKey(d.request(), d.attempt());
    Attempt known = ledger.get(key);
    if (known != null && known.stage == Attempt.Stage.SEALED) {
      refuse(effects, connection, d, Reason.SEALED);
      return effects;
    }
    if (known != null) {
      // The same identity again: never a second run, only another listener.
      attach(effects, connection, known);
      return effects;
    }
    Optional<Reason> reason = findRefusal(d);
    if (reason.isPresent()) {
      refuse(effects, connection, d, reason.get());
      return effects;
    }
    Attempt a = new Attempt(key, d, now + d.millisLeft(), Attempt.Stage.QUEUED);
    a.listeners.add(connection);
    ledger.put(key, a);
    Optional<Attempt> displaced = queue.offer(d.workspace(), d.weight(), d.priority(), d.cost(), a);
    displaced.ifPresent(x -> drop(effects, x, Reason.BUSY));
    serve(now, effects);
    return effects;
  }

  /** Handles an entry's word that nobody waits any more. */
  public List<AdmissionEffect> cancel(long now, ServingMessage.Cancel c) {
    List<AdmissionEffect> effects = new ArrayList<>();
    Attempt a = ledger.get(new AttemptKey(c.request(), c.attempt()));
    if (a != null) {
      abandon(effects, a);
    }
    serve(now, effects);
    return effects;
  }

  /** Tells what became of an attempt and makes sure that one not run never will be. */
  public List<AdmissionEffect> seal(long now, long connection, ServingMessage.Seal s) {
    List<AdmissionEffect> effects = new ArrayList<>();
    if (s.boot() != boot) {
      reply(effects, connection, new ServingMessage.FateUnknown(s.request(), s.attempt(), load()));
      return effects;
    }
    AttemptKey key = new AttemptKey(s.request(), s.attempt());
    Attempt a = ledger.get(key);
    if (a == null || a.stage == Attempt.Stage.QUEUED) {
      if (a != null) {
        queue.removeIf(x -> x == a);
        drop(effects, a, Reason.SEALED);
      }
      Attempt tombstone = new Attempt(key, null, now, Attempt.Stage.SEALED);
      tombstone.ended = now;
      ledger.put(key, tombstone);
    }
    if (ledger.get(key).stage == Attempt.Stage.SEALED) {
      reply(
          effects,
          connection,
          new ServingMessage.NotRun(s.request(), s.attempt(), Reason.SEALED, load()));
      return effects;
    }
    attach(effects, connection, ledger.get(key));
    return effects;
  }

  /** Handles the loss of an entry's connection: work that may be repeated is broken off. */
  public List<AdmissionEffect> connectionLost(long now, long connection) {
    List<AdmissionEffect> effects = new ArrayList<>();
    refused.remove(connection);
    for (Attempt a : new ArrayList<>(ledger.values())) {
      if (a.listeners.remove(connection) && a.listeners.isEmpty()) {
        abandon(effects, a);
      }
    }
    serve(now, effects);
    return effects;
  }

  /** Answers an entry that has just connected. */
  public List<AdmissionEffect> loadRequested(long connection) {
    List<AdmissionEffect> effects = new ArrayList<>();
    reply(effects, connection, new ControlMessage.LoadReport(member, load()));
    return effects;
  }

  // Inputs from the endpoint

  /** Handles the beginning of an answer. */
  public List<AdmissionEffect> answerHead(
      long now, AttemptKey key, int status, String contentType, String manifest) {
    List<AdmissionEffect> effects = new ArrayList<>();
    Attempt a = findRunning(key);
    if (a == null) {
      return effects;
    }
    if (engine && OVERLOAD_STATUSES.contains(status)) {
      limit.overloaded();
      effects.add(new AdmissionEffect.Abort(key));
      end(now, a);
      ledger.remove(key);
      notRun(effects, a, Reason.BUSY);
      serve(now, effects);
      return effects;
    }
    if (engine && status < 400 && !manifest.equals(a.dispatch.generation().manifest())) {
      effects.add(new AdmissionEffect.Abort(key));
      effects.add(new AdmissionEffect.Recheck("answer from manifest '" + manifest + "'"));
      finish(now, effects, a, false, 0);
      return effects;
    }
    a.lastPart = now;
    ServingMessage head =
        new ServingMessage.AnswerHead(
            key.request(), key.attempt(), status, contentType, a.dispatch.generation());
    a.record(head, contentType.length(), options.recordedAnswerBytes());
    tell(effects, a, head);
    return effects;
  }

  /** Handles a part of an answer. */
  public List<AdmissionEffect> answerPart(long now, AttemptKey key, byte[] bytes) {
    List<AdmissionEffect> effects = new ArrayList<>();
    Attempt a = findRunning(key);
    if (a == null) {
      return effects;
    }
    ServingMessage part =
        new ServingMessage.AnswerPart(key.request(), key.attempt(), a.parts++, bytes);
    a.bytes += bytes.length;
    a.record(part, bytes.length, options.recordedAnswerBytes());
    tell(effects, a, part);
    if (engine && a.parts > 1 && limit.observeGap(now - a.lastPart)) {
      limit.turnedCold();
      log(effects, "cold", key.request(), a.dispatch.workspace(), "gaps between tokens grew");
    }
    a.lastPart = now;
    return effects;
  }

  /** Handles the end of an answer; {@code whole} is false if it was cut off. */
  public List<AdmissionEffect> answerEnd(long now, AttemptKey key, boolean whole, int tokens) {
    List<AdmissionEffect> effects = new ArrayList<>();
    Attempt a = findRunning(key);
    if (a == null) {
      return effects;
    }
    finish(now, effects, a, whole, tokens);
    return effects;
  }

  /** Handles a connection that the endpoint refused: the request certainly did not run. */
  public List<AdmissionEffect> endpointRefused(long now, AttemptKey key) {
    List<AdmissionEffect> effects = new ArrayList<>();
    Attempt a = findRunning(key);
    if (a == null) {
      return effects;
    }
    limit.overloaded();
    end(now, a);
    ledger.remove(key);
    notRun(effects, a, Reason.ENDPOINT_DOWN);
    effects.add(new AdmissionEffect.Recheck("connection refused"));
    serve(now, effects);
    return effects;
  }

  // Inputs from control

  /** Takes what the endpoint serves, once confirmed, or that it serves nothing. */
  public List<AdmissionEffect> serving(long now, boolean ready, Generation g) {
    boolean changed = ready != serving || !g.equals(generation);
    if (ready && changed) {
      limit.turnedCold();
    }
    serving = ready;
    generation = g;
    List<AdmissionEffect> effects = new ArrayList<>();
    flushIfClosed(effects);
    serve(now, effects);
    broadcast(now, effects, true);
    return effects;
  }

  /**
   * Takes a look at the endpoint.
   *
   * @param incarnation boot id of the engine; another one means that it is cold
   * @param capacity requests that it says it can carry, 0 if it does not say
   */
  public List<AdmissionEffect> observed(long now, String incarnation, int capacity) {
    List<AdmissionEffect> effects = new ArrayList<>();
    if (!incarnation.equals(engineBoot)) {
      if (!engineBoot.isEmpty()) {
        limit.turnedCold();
        log(effects, "cold", incarnation, "", "endpoint restarted");
      }
      engineBoot = incarnation;
    }
    limit.report(capacity);
    serve(now, effects);
    broadcast(now, effects, false);
    return effects;
  }

  /** Takes new rules. */
  public List<AdmissionEffect> rules(long now, Rules adopted, boolean ownDomainOut) {
    List<AdmissionEffect> effects = new ArrayList<>();
    rules = adopted;
    domainOut = ownDomainOut;
    flushIfClosed(effects);
    serve(now, effects);
    broadcast(now, effects, true);
    return effects;
  }

  /** Stops taking new work for good; what runs goes on to its end. */
  public List<AdmissionEffect> leave(long now) {
    List<AdmissionEffect> effects = new ArrayList<>();
    leaving = true;
    flushIfClosed(effects);
    broadcast(now, effects, true);
    return effects;
  }

  /** Drops what waited past its deadline and forgets old fates. */
  public List<AdmissionEffect> tick(long now) {
    List<AdmissionEffect> effects = new ArrayList<>();
    for (Attempt late : queue.removeIf(a -> now >= a.deadline)) {
      drop(effects, late, Reason.DEADLINE);
    }
    Iterator<Attempt> all = ledger.values().iterator();
    while (all.hasNext()) {
      Attempt a = all.next();
      boolean over = a.stage == Attempt.Stage.ENDED || a.stage == Attempt.Stage.SEALED;
      if (over && now - a.ended >= options.ledgerMillis()) {
        all.remove();
      }
    }
    serve(now, effects);
    broadcast(now, effects, false);
    return effects;
  }

  // Helpers

  private boolean accepting() {
    return serving && !leaving && !domainOut && rules.version() > 0;
  }

  private Optional<Reason> findRefusal(Dispatch d) {
    if (d.boot() != boot) {
      return Optional.of(Reason.OTHER_INCARNATION);
    }
    if (leaving) {
      return Optional.of(Reason.LEAVING);
    }
    if (rules.version() == 0) {
      return Optional.of(Reason.NO_RULES);
    }
    if (domainOut) {
      return Optional.of(Reason.DOMAIN_OUT);
    }
    if (!serving || !d.generation().equals(generation)) {
      return Optional.of(Reason.GENERATION);
    }
    return Optional.empty();
  }

  /** Forwards as many waiting requests as the endpoint may carry. */
  private void serve(long now, List<AdmissionEffect> effects) {
    while (running < limit.limit() && accepting()) {
      Optional<Attempt> next = queue.poll(a -> true);
      if (next.isEmpty()) {
        break;
      }
      Attempt a = next.get();
      if (now >= a.deadline) {
        drop(effects, a, Reason.DEADLINE);
        continue;
      }
      a.stage = Attempt.Stage.DISPATCHED;
      a.lastPart = now;
      running++;
      effects.add(new AdmissionEffect.Forward(a.key, a.dispatch));
    }
    if (running < limit.limit() && queue.size() == 0 && !refused.isEmpty()) {
      for (long connection : refused) {
        reply(effects, connection, new ControlMessage.LoadReport(member, load()));
      }
      refused.clear();
    }
  }

  private void finish(
      long now, List<AdmissionEffect> effects, Attempt a, boolean whole, int tokens) {
    if (whole) {
      limit.completed();
    } else {
      limit.overloaded();
    }
    end(now, a);
    ServingMessage last =
        new ServingMessage.AnswerEnd(
            a.key.request(), a.key.attempt(), a.parts, a.bytes, whole, tokens, load());
    a.record(last, 0, options.recordedAnswerBytes());
    tell(effects, a, last);
    if (!a.remembered()) {
      ledger.remove(a.key);
    }
    serve(now, effects);
  }

  private void end(long now, Attempt a) {
    running--;
    a.stage = Attempt.Stage.ENDED;
    a.ended = now;
  }

  private Attempt findRunning(AttemptKey key) {
    Attempt a = ledger.get(key);
    return a != null && a.stage == Attempt.Stage.DISPATCHED ? a : null;
  }

  /** Adds a listener and brings it up to date. */
  private void attach(List<AdmissionEffect> effects, long connection, Attempt a) {
    a.listeners.add(connection);
    if (a.stage == Attempt.Stage.QUEUED) {
      return;
    }
    if (a.dispatch.repeatable() || !a.recording) {
      reply(
          effects,
          connection,
          new ServingMessage.FateUnknown(a.key.request(), a.key.attempt(), load()));
      return;
    }
    if (a.recorded.isEmpty()) {
      reply(effects, connection, new ServingMessage.Running(a.key.request(), a.key.attempt()));
    }
    for (ServingMessage m : a.recorded) {
      reply(effects, connection, m);
    }
  }

  /** Handles an attempt that nobody waits for; one that may not be repeated runs to its end. */
  private void abandon(List<AdmissionEffect> effects, Attempt a) {
    if (a.stage == Attempt.Stage.QUEUED) {
      queue.removeIf(x -> x == a);
      drop(effects, a, Reason.CANCELLED);
    } else if (a.stage == Attempt.Stage.DISPATCHED && a.dispatch.repeatable()) {
      running--;
      a.stage = Attempt.Stage.ENDED;
      ledger.remove(a.key);
      effects.add(new AdmissionEffect.Abort(a.key));
    }
  }

  /** Refuses everything that waits if no new work is taken at present. */
  private void flushIfClosed(List<AdmissionEffect> effects) {
    if (accepting()) {
      for (Attempt a : queue.removeIf(x -> !x.dispatch.generation().equals(generation))) {
        drop(effects, a, Reason.GENERATION);
      }
      return;
    }
    Reason reason = leaving ? Reason.LEAVING : domainOut ? Reason.DOMAIN_OUT : Reason.GENERATION;
    for (Attempt a : queue.removeIf(x -> true)) {
      drop(effects, a, reason);
    }
  }

  private void drop(List<AdmissionEffect> effects, Attempt a, Reason reason) {
    ledger.remove(a.key);
    notRun(effects, a, reason);
  }

  private void notRun(List<AdmissionEffect> effects, Attempt a, Reason reason) {
    if (reason == Reason.BUSY) {
      refused.addAll(a.listeners);
    }
    tell(effects, a, new ServingMessage.NotRun(a.key.request(), a.key.attempt(), reason, load()));
    log(effects, "refuse", a.key.request(), a.dispatch.workspace(), reason.name());
  }

  private void refuse(List<AdmissionEffect> effects, long connection, Dispatch d, Reason reason) {
    reply(effects, connection, new ServingMessage.NotRun(d.request(), d.attempt(), reason, load()));
    log(effects, "refuse", d.request(), d.workspace(), reason.name());
  }

  private void broadcast(long now, List<AdmissionEffect> effects, boolean always) {
    Load load = load();
    boolean changed =
        lastBroadcast == null
            || load.limit() != lastBroadcast.limit()
            || load.ready() != lastBroadcast.ready()
            || !load.generation().equals(lastBroadcast.generation());
    if (changed && (always || now >= nextBroadcast)) {
      lastBroadcast = load;
      nextBroadcast = now + BROADCAST_MILLIS;
      effects.add(new AdmissionEffect.Broadcast(load));
    }
  }

  private static void tell(List<AdmissionEffect> effects, Attempt a, Message m) {
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
            new Decision(kind, subject, workspace, List.of(member), "", reason, rules.version())));
  }
}
