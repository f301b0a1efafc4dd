package org.cornelchute.policy.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.cornelchute.core.model.OpenCalls;

/**
 * Entries and batching engines in virtual time; just enough to drive {@link CallDecider}.
 *
 * <p>An engine works in passes: while any request writes, a pass is {@code stride} token steps,
 * each of the published length; prompts are read in pieces between them. Events leave at the end of
 * a pass.
 */
final class ClusterSimulation {

  static final long DEADLINE_MILLIS = 6_033;
  private static final int SLOTS = 16;
  private static final int PROMPT_TOKENS_PER_STEP = 2_048;
  private static final long NETWORK_DELAY_MILLIS = 2;
  private static final long SWEEP_INTERVAL_MILLIS = 50;
  private static final long REPORT_INTERVAL_MILLIS = 100;

  /** What a call earns whose first event is late, and what one costs that is refused twice. */
  private static final double LATE_CALL_VALUE = 0.25;

  private static final double SECOND_REJECTION_COST = 0.3;

  /** Part of the callers that the balancer gives to each entry: a hash does not share evenly. */
  private static final double[] TRAFFIC_SHARES = {0.25, 0.22, 0.18, 0.15, 0.12, 0.08};

  final List<CallDecider> entries = new ArrayList<>();
  final List<Engine> engines = new ArrayList<>();
  final Random random;
  int callCount;
  int onTimeCount;
  int lateCount;
  int rejectedTwiceCount;

  /** Whether entries tell each other of their open calls. */
  boolean reportsEnabled = true;

  long now = 1_000_000;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<Long, Caller> callers = new HashMap<>();
  private long lastNumber;
  private long nextSequence;

  ClusterSimulation(int entryCount, int engineCount, long seed) {
    random = new Random(seed);
    List<String> names = new ArrayList<>();
    for (int i = 0; i < entryCount; i++) {
      names.add("e" + i);
    }
    for (int i = 0; i < engineCount; i++) {
      engines.add(new Engine("i" + i, "d" + i % 3));
    }
    for (int i = 0; i < entryCount; i++) {
      CallOptions o = Fixture.OPTIONS;
      CallOptions own =
          new CallOptions(
              "e" + i,
              "d" + i % 3,
              "d" + i % 3,
              o.maxKeyAgeMillis(),
              o.maxDenialAgeMillis(),
              o.versionGraceMillis(),
              o.versionCutoffMillis(),
              o.retryRatio(),
              o.retryAllowance(),
              o.retryWindowMillis(),
              o.coldOverrunFactor(),
              o.coldAllowance());
      CallDecider d = new CallDecider(own, seed + i);
      d.updateConfig(Fixture.config(1, Map.of(Fixture.KEY, new WorkspaceSpec("w", 1, List.of()))));
      d.updateEntries(names);
      entries.add(d);
    }
    listEngines(engineCount);
  }

  /** Lists the first engines only. */
  void listEngines(int count) {
    List<EndpointSpec> specs = new ArrayList<>();
    for (Engine e : engines.subList(0, count)) {
      specs.add(Fixture.engine(e.id, e.domain, 1));
    }
    for (CallDecider d : entries) {
      d.updateEndpoints(now, specs);
      d.recordConfirmation(now);
    }
  }

  /** Lets callers ask at a rate for a time, and the work come to its end. */
  void run(double perSecond, long millis) {
    long end = now + millis;
    double next = now;
    long sweep = now;
    while (true) {
      next += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      if (next >= end) {
        break;
      }
      schedule((long) next, this::createCall);
    }
    for (long share = now; share < end; share += REPORT_INTERVAL_MILLIS) {
      schedule(share, this::exchangeReports);
    }
    for (; sweep < end + DEADLINE_MILLIS; sweep += SWEEP_INTERVAL_MILLIS) {
      schedule(
          sweep,
          () -> {
            for (int i = 0; i < entries.size(); i++) {
              entries.get(i).recordConfirmation(now);
              apply(i, entries.get(i).sweep(now));
            }
          });
    }
    while (!events.isEmpty()) {
      Event e = events.poll();
      now = Math.max(now, e.time);
      e.action.run();
    }
  }

  /** Returns the worth earned of the worth asked. */
  double goodput() {
    return (onTimeCount + LATE_CALL_VALUE * lateCount) / callCount;
  }

  /** Returns the same less what refusing callers twice costs. */
  double netGoodput() {
    return goodput() - SECOND_REJECTION_COST * rejectedTwiceCount / callCount;
  }

  private void exchangeReports() {
    for (int from = 0; reportsEnabled && from < entries.size(); from++) {
      String name = "e" + from;
      List<OpenCalls> open = entries.get(from).openCalls();
      for (int to = 0; to < entries.size(); to++) {
        CallDecider other = entries.get(to);
        if (to != from) {
          schedule(now + NETWORK_DELAY_MILLIS, () -> other.recordEntryReport(now, name, 0, open));
        }
      }
    }
  }

  private void createCall() {
    long prompt = Math.max(40, Math.round(977 * (0.3 - 0.7 * Math.log(1 - random.nextDouble()))));
    long answer = Math.max(5, Math.round(94 * (0.3 - 0.7 * Math.log(1 - random.nextDouble()))));
    callCount++;
    send(new Caller(now, prompt, answer));
  }

  private int pickEntry() {
    double point = random.nextDouble();
    for (int i = 0; i < TRAFFIC_SHARES.length; i++) {
      point -= TRAFFIC_SHARES[i];
      if (point < 0) {
        return i % entries.size();
      }
    }
    return 0;
  }

  private void send(Caller c) {
    int entry = pickEntry();
    long number = ++lastNumber;
    callers.put(number, c);
    apply(
        entry,
        entries
            .get(entry)
            .onCall(
                now,
                new CallSpec(
                    number,
                    "id",
                    "h",
                    "/s/",
                    Fixture.KEY,
                    DEADLINE_MILLIS - (now - c.arrivedAt),
                    c.promptTokens,
                    c.outputTokens,
                    0,
                    -1)));
  }

  private void apply(int entry, List<CallEffect> effects) {
    for (CallEffect e : effects) {
      if (e instanceof CallEffect.Dispatch d) {
        Caller c = callers.get(d.call());
        Engine engine =
            engines.stream().filter(x -> x.id.equals(d.endpoint().id())).findFirst().orElseThrow();
        Work w = new Work(d.call(), d.attempt(), entry, c.promptTokens, c.outputTokens);
        schedule(now + NETWORK_DELAY_MILLIS, () -> engine.enqueue(w));
      } else if (e instanceof CallEffect.CancelAttempt a) {
        schedule(
            now + NETWORK_DELAY_MILLIS,
            () -> engines.forEach(x -> x.cancel(a.call(), a.attempt())));
      } else if (e instanceof CallEffect.Reject r) {
        onRejected(callers.get(r.call()), r.retryAfterMillis());
      } else if (e instanceof CallEffect.AbortResponse) {
        rejectedTwiceCount++;
      }
    }
  }

  /** Lets a caller that was refused ask once more, as long after as it was told. */
  private void onRejected(Caller c, long retryAfterMillis) {
    if (c.retried) {
      rejectedTwiceCount++;
      return;
    }
    c.retried = true;
    schedule(now + retryAfterMillis, () -> send(c));
  }

  private void schedule(long when, Runnable action) {
    events.add(new Event(when, nextSequence++, action));
  }

  /** One engine that batches. */
  final class Engine {
    final String id;
    final String domain;
    final List<Work> running = new ArrayList<>();
    final Deque<Work> queued = new ArrayDeque<>();
    boolean passInProgress;

    Engine(String id, String domain) {
      this.id = id;
      this.domain = domain;
    }

    void enqueue(Work w) {
      queued.add(w);
      if (!passInProgress) {
        startPass();
      }
    }

    void cancel(long call, int attempt) {
      queued.removeIf(w -> w.call == call && w.attempt == attempt);
      running.removeIf(w -> w.call == call && w.attempt == attempt);
    }

    private void startPass() {
      while (running.size() < SLOTS && !queued.isEmpty()) {
        running.add(queued.poll());
      }
      passInProgress = !running.isEmpty();
      if (!passInProgress) {
        return;
      }
      boolean writing = running.stream().anyMatch(w -> w.remainingPromptTokens == 0);
      int steps = writing ? Fixture.ENGINE.stepsPerPass() : 1;
      double millis = 0;
      for (int i = 0; i < steps; i++) {
        millis += runStep();
      }
      schedule(now + Math.max(1, Math.round(millis)), this::finishPass);
    }

    private double runStep() {
      long budget = PROMPT_TOKENS_PER_STEP;
      int writers = 0;
      for (Work w : running) {
        if (w.remainingPromptTokens == 0 && w.remainingOutputTokens > 0) {
          w.remainingOutputTokens--;
          w.generationStarted = true;
          writers++;
        } else if (w.remainingPromptTokens > 0 && budget > 0) {
          long read = Math.min(budget, w.remainingPromptTokens);
          w.remainingPromptTokens -= read;
          budget -= read;
        }
      }
      return Fixture.ENGINE.stepMillis()
          + Fixture.ENGINE.stepMillisPerSequence() * writers
          + (PROMPT_TOKENS_PER_STEP - budget) / Fixture.ENGINE.promptTokensPerMilli();
    }

    private void finishPass() {
      for (Work w : List.copyOf(running)) {
        if (w.generationStarted && !w.firstEventSent) {
          w.firstEventSent = true;
          int total = running.size();
          int queued = queued.size();
          schedule(now + NETWORK_DELAY_MILLIS, () -> onFirstEvent(w, total, queued));
        } else if (w.firstEventSent) {
          schedule(
              now + NETWORK_DELAY_MILLIS,
              () ->
                  entries.get(w.entry).onResponseProgress(now, w.call, w.attempt, w.nextEventId++));
        }
        if (w.remainingPromptTokens == 0 && w.remainingOutputTokens == 0) {
          running.remove(w);
          schedule(
              now + NETWORK_DELAY_MILLIS,
              () -> apply(w.entry, entries.get(w.entry).onResponseEnd(now, w.call, w.attempt)));
        }
      }
      startPass();
    }

    private void onFirstEvent(Work w, int total, int queued) {
      Caller c = callers.get(w.call);
      if (c.firstEventReceived) {
        return;
      }
      c.firstEventReceived = true;
      if (now - c.arrivedAt <= Fixture.TARGET_MILLIS) {
        onTimeCount++;
      } else {
        lateCount++;
      }
      apply(
          w.entry,
          entries
              .get(w.entry)
              .onResponseHead(
                  now,
                  w.call,
                  w.attempt,
                  new ResponseHead(200, false, false, true, 1, total, queued)));
    }
  }

  private static final class Caller {
    final long arrivedAt;
    final long promptTokens;
    final long outputTokens;
    boolean firstEventReceived;
    boolean retried;

    Caller(long asked, long prompt, long answer) {
      this.arrivedAt = asked;
      this.promptTokens = prompt;
      this.outputTokens = answer;
    }
  }

  private static final class Work {
    final long call;
    final int attempt;
    final int entry;
    long remainingPromptTokens;
    long remainingOutputTokens;
    boolean generationStarted;
    boolean firstEventSent;
    long nextEventId;

    Work(long call, int attempt, int entry, long unread, long unwritten) {
      this.call = call;
      this.attempt = attempt;
      this.entry = entry;
      this.remainingPromptTokens = unread;
      this.remainingOutputTokens = unwritten;
    }
  }

  private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return time != o.time ? Long.compare(time, o.time) : Long.compare(sequence, o.sequence);
    }
  }
}
