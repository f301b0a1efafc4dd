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
final class FakeEngines {

  static final long DEADLINE_MILLIS = 6_033;
  private static final int SLOTS = 16;
  private static final int CHUNK = 2_048;
  private static final long WAY_MILLIS = 2;
  private static final long SWEEP_MILLIS = 50;
  private static final long SHARE_MILLIS = 100;

  /** What a call earns whose first event is late, and what one costs that is refused twice. */
  private static final double LATE_WORTH = 0.25;

  private static final double REFUSED_AGAIN_COST = 0.3;

  /** Part of the callers that the balancer gives to each entry: a hash does not share evenly. */
  private static final double[] SHARES = {0.25, 0.22, 0.18, 0.15, 0.12, 0.08};

  final List<CallDecider> entries = new ArrayList<>();
  final List<Engine> engines = new ArrayList<>();
  final Random random;
  int asked;
  int inTime;
  int late;
  int refusedAgain;

  /** Whether entries tell each other of their open calls. */
  boolean sharing = true;

  long now = 1_000_000;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<Long, Caller> callers = new HashMap<>();
  private long numbers;
  private long order;

  FakeEngines(int entryCount, int engineCount, long seed) {
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
    list(engineCount);
  }

  /** Lists the first engines only. */
  void list(int count) {
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
      at((long) next, this::ask);
    }
    for (long share = now; share < end; share += SHARE_MILLIS) {
      at(share, this::share);
    }
    for (; sweep < end + DEADLINE_MILLIS; sweep += SWEEP_MILLIS) {
      at(
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
      now = Math.max(now, e.at);
      e.action.run();
    }
  }

  /** Returns the worth earned of the worth asked. */
  double goodput() {
    return (inTime + LATE_WORTH * late) / asked;
  }

  /** Returns the same less what refusing callers twice costs. */
  double netWorth() {
    return goodput() - REFUSED_AGAIN_COST * refusedAgain / asked;
  }

  private void share() {
    for (int from = 0; sharing && from < entries.size(); from++) {
      String name = "e" + from;
      List<OpenCalls> open = entries.get(from).openCalls();
      for (int to = 0; to < entries.size(); to++) {
        CallDecider other = entries.get(to);
        if (to != from) {
          at(now + WAY_MILLIS, () -> other.recordEntryReport(now, name, 0, open));
        }
      }
    }
  }

  private void ask() {
    long prompt = Math.max(40, Math.round(977 * (0.3 - 0.7 * Math.log(1 - random.nextDouble()))));
    long answer = Math.max(5, Math.round(94 * (0.3 - 0.7 * Math.log(1 - random.nextDouble()))));
    asked++;
    send(new Caller(now, prompt, answer));
  }

  private int pickEntry() {
    double point = random.nextDouble();
    for (int i = 0; i < SHARES.length; i++) {
      point -= SHARES[i];
      if (point < 0) {
        return i % entries.size();
      }
    }
    return 0;
  }

  private void send(Caller c) {
    int entry = pickEntry();
    long number = ++numbers;
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
                    DEADLINE_MILLIS - (now - c.asked),
                    c.prompt,
                    c.answer,
                    0,
                    -1)));
  }

  private void apply(int entry, List<CallEffect> effects) {
    for (CallEffect e : effects) {
      if (e instanceof CallEffect.Dispatch d) {
        Caller c = callers.get(d.call());
        Engine engine =
            engines.stream().filter(x -> x.id.equals(d.endpoint().id())).findFirst().orElseThrow();
        Work w = new Work(d.call(), d.attempt(), entry, c.prompt, c.answer);
        at(now + WAY_MILLIS, () -> engine.take(w));
      } else if (e instanceof CallEffect.CancelAttempt a) {
        at(now + WAY_MILLIS, () -> engines.forEach(x -> x.drop(a.call(), a.attempt())));
      } else if (e instanceof CallEffect.Reject r) {
        refused(callers.get(r.call()), r.retryAfterMillis());
      } else if (e instanceof CallEffect.AbortResponse) {
        refusedAgain++;
      }
    }
  }

  /** Lets a caller that was refused ask once more, as long after as it was told. */
  private void refused(Caller c, long retryAfterMillis) {
    if (c.again) {
      refusedAgain++;
      return;
    }
    c.again = true;
    at(now + retryAfterMillis, () -> send(c));
  }

  private void at(long when, Runnable action) {
    events.add(new Event(when, order++, action));
  }

  /** One engine that batches. */
  final class Engine {
    final String id;
    final String domain;
    final List<Work> running = new ArrayList<>();
    final Deque<Work> waiting = new ArrayDeque<>();
    boolean passing;

    Engine(String id, String domain) {
      this.id = id;
      this.domain = domain;
    }

    void take(Work w) {
      waiting.add(w);
      if (!passing) {
        pass();
      }
    }

    void drop(long call, int attempt) {
      waiting.removeIf(w -> w.call == call && w.attempt == attempt);
      running.removeIf(w -> w.call == call && w.attempt == attempt);
    }

    private void pass() {
      while (running.size() < SLOTS && !waiting.isEmpty()) {
        running.add(waiting.poll());
      }
      passing = !running.isEmpty();
      if (!passing) {
        return;
      }
      boolean writing = running.stream().anyMatch(w -> w.unread == 0);
      int steps = writing ? Fixture.ENGINE.stepsPerPass() : 1;
      double millis = 0;
      for (int i = 0; i < steps; i++) {
        millis += step();
      }
      at(now + Math.max(1, Math.round(millis)), this::deliver);
    }

    private double step() {
      long budget = CHUNK;
      int writers = 0;
      for (Work w : running) {
        if (w.unread == 0 && w.unwritten > 0) {
          w.unwritten--;
          w.begun = true;
          writers++;
        } else if (w.unread > 0 && budget > 0) {
          long read = Math.min(budget, w.unread);
          w.unread -= read;
          budget -= read;
        }
      }
      return Fixture.ENGINE.stepMillis()
          + Fixture.ENGINE.stepMillisPerSequence() * writers
          + (CHUNK - budget) / Fixture.ENGINE.promptTokensPerMilli();
    }

    private void deliver() {
      for (Work w : List.copyOf(running)) {
        if (w.begun && !w.told) {
          w.told = true;
          int total = running.size();
          int queued = waiting.size();
          at(now + WAY_MILLIS, () -> told(w, total, queued));
        } else if (w.told) {
          at(
              now + WAY_MILLIS,
              () -> entries.get(w.entry).onResponseProgress(now, w.call, w.attempt, w.events++));
        }
        if (w.unread == 0 && w.unwritten == 0) {
          running.remove(w);
          at(
              now + WAY_MILLIS,
              () -> apply(w.entry, entries.get(w.entry).onResponseEnd(now, w.call, w.attempt)));
        }
      }
      pass();
    }

    private void told(Work w, int total, int queued) {
      Caller c = callers.get(w.call);
      if (c.told) {
        return;
      }
      c.told = true;
      if (now - c.asked <= Fixture.TARGET_MILLIS) {
        inTime++;
      } else {
        late++;
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
    final long asked;
    final long prompt;
    final long answer;
    boolean told;
    boolean again;

    Caller(long asked, long prompt, long answer) {
      this.asked = asked;
      this.prompt = prompt;
      this.answer = answer;
    }
  }

  private static final class Work {
    final long call;
    final int attempt;
    final int entry;
    long unread;
    long unwritten;
    boolean begun;
    boolean told;
    long events;

    Work(long call, int attempt, int entry, long unread, long unwritten) {
      this.call = call;
      this.attempt = attempt;
      this.entry = entry;
      this.unread = unread;
      this.unwritten = unwritten;
    }
  }

  private record Event(long at, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
    }
  }
}
