package org.cornelchute.policy.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.cornelchute.core.message.ControlMessage.EndpointSpeedsReport;
import org.cornelchute.core.model.OpenCalls;
import org.cornelchute.policy.load.EndpointLoad;

/**
 * Entries and engines in virtual time; a share of the engines is slow, and which ones changes at an
 * interval. A call takes a fixed amount of work, which a slow engine does more slowly from the
 * moment at which it becomes slow.
 */
final class SlowEndpointsSimulation {

  static final double SLOWDOWN = 2.5;
  static final int SLOTS = 12;
  static final long CHANGE_MILLIS = 600;
  private static final long START_MILLIS = 1_000_000;
  private static final double FIRST_EVENT_WORK_MILLIS = 100;
  private static final double WORK_MILLIS = 250;
  private static final long NETWORK_DELAY_MILLIS = 2;
  private static final long REPORT_INTERVAL_MILLIS = 100;
  private static final long SWEEP_INTERVAL_MILLIS = 50;
  private static final int NORMAL_SPEED = 100;

  final List<Engine> engines = new ArrayList<>();
  final List<Long> firstEventMillis = new ArrayList<>();
  final List<CallDecider> entries = new ArrayList<>();
  int callCount;

  /** Whether engines state their speed. */
  boolean statesSpeeds = true;

  /** Share of the reports of speeds that are lost. */
  double reportLoss;

  long now = START_MILLIS;

  private final double slowShare;
  private final Random random;
  private final List<String> names = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<Long, Long> arrivedAt = new HashMap<>();
  private long nextSequence;

  SlowEndpointsSimulation(int entryCount, int engineCount, double slowShare, long seed) {
    this.slowShare = slowShare;
    this.random = new Random(seed);
    for (int i = 0; i < engineCount; i++) {
      engines.add(new Engine(i));
    }
    for (int i = 0; i < entryCount; i++) {
      names.add("e" + i);
    }
    for (int i = 0; i < entryCount; i++) {
      CallDecider decider =
          new CallDecider(Fixture.optionsOf("e" + i, placeOf(i), placeOf(i)), seed + i, 0);
      decider.updateConfig(
          Fixture.config(1, Map.of(Fixture.KEY, new WorkspaceSpec("w", 1, List.of()))));
      decider.updateEntries(names);
      decider.updateEndpoints(now, engines.stream().map(Engine::spec).toList());
      decider.recordConfirmation(now);
      entries.add(decider);
    }
  }

  private static String placeOf(int index) {
    return "d" + index % 3;
  }

  /** Sends calls at a rate to all entries alike, and runs until all have ended. */
  void run(double perSecond, long millis) {
    long end = now + millis;
    changeConditions(end);
    double arrival = now;
    while (arrival < end) {
      schedule((long) arrival, this::sendCall);
      arrival += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
    }
    for (long at = now; at < end; at += REPORT_INTERVAL_MILLIS) {
      schedule(at, this::exchangeReports);
    }
    for (long at = now; at < end; at += SWEEP_INTERVAL_MILLIS) {
      schedule(at, this::sweep);
    }
    while (!events.isEmpty()) {
      Event event = events.poll();
      now = Math.max(now, event.time);
      event.action.run();
    }
  }

  /** Returns the mean time to the first event of the calls that were served. */
  double meanFirstEventMillis() {
    return firstEventMillis.stream().mapToLong(Long::longValue).average().orElseThrow();
  }

  /** Returns the share of all calls whose first event came within a time. */
  double shareWithin(long millis) {
    return firstEventMillis.stream().filter(m -> m <= millis).count() / (double) callCount;
  }

  /** Returns the largest number of calls that were at an engine at once. */
  int mostCallsAtOnce() {
    return engines.stream().mapToInt(e -> e.mostCalls).max().orElseThrow();
  }

  private void changeConditions(long end) {
    for (long at = now; at < end; at += CHANGE_MILLIS) {
      List<Engine> shuffled = new ArrayList<>(engines);
      Collections.shuffle(shuffled, random);
      int slowCount = (int) Math.round(slowShare * engines.size());
      schedule(
          at,
          () -> {
            for (int i = 0; i < shuffled.size(); i++) {
              shuffled.get(i).setSlow(i < slowCount);
            }
          });
    }
  }

  private void sweep() {
    for (int i = 0; i < entries.size(); i++) {
      entries.get(i).recordConfirmation(now);
      apply(i, entries.get(i).sweep(now));
    }
  }

  private void exchangeReports() {
    Map<String, String> regionByName = new HashMap<>();
    names.forEach(n -> regionByName.put(n, placeOf(names.indexOf(n))));
    for (int from = 0; from < entries.size(); from++) {
      String name = names.get(from);
      List<OpenCalls> open = entries.get(from).openCalls();
      EndpointSpeedsReport speeds = entries.get(from).endpointSpeeds().takeReport(now);
      for (String to : ReportRecipients.choose(name, regionByName.get(name), regionByName)) {
        CallDecider other = entries.get(names.indexOf(to));
        schedule(now + NETWORK_DELAY_MILLIS, () -> other.recordEntryReport(now, name, 0, open));
        if (random.nextDouble() >= reportLoss) {
          schedule(
              now + NETWORK_DELAY_MILLIS, () -> other.endpointSpeeds().recordReport(now, speeds));
        }
      }
    }
  }

  private void sendCall() {
    int entry = random.nextInt(entries.size());
    long number = ++callCount;
    arrivedAt.put(number, now);
    CallSpec spec =
        new CallSpec(
            number,
            "id",
            "h",
            "/s/",
            Fixture.KEY,
            Fixture.TIMEOUT_MILLIS,
            977,
            94,
            0,
            -1,
            List.of());
    apply(entry, entries.get(entry).onCall(now, spec));
  }

  private void apply(int entry, List<CallEffect> effects) {
    for (CallEffect effect : effects) {
      if (effect instanceof CallEffect.Dispatch d) {
        Engine engine = engines.get(Integer.parseInt(d.endpoint().id().substring(1)));
        schedule(
            now + NETWORK_DELAY_MILLIS,
            () -> engine.accept(new Work(entry, d.call(), d.attempt())));
      }
    }
  }

  private void schedule(long time, Runnable action) {
    events.add(new Event(time, nextSequence++, action));
  }

  /** One engine, which does all calls in its slots at the same speed. */
  final class Engine {
    private final int index;
    private final List<Work> running = new ArrayList<>();
    private final Deque<Work> queued = new ArrayDeque<>();
    private boolean slow;
    private int mostCalls;
    private int callCount;

    Engine(int index) {
      this.index = index;
    }

    EndpointSpec spec() {
      String place = placeOf(index);
      String address = "10.0.0." + index + ":80";
      return new EndpointSpec(
          "i" + index, "engines", address, place, place, SLOTS, false, 0, 1, "m", 1);
    }

    /** Returns the number of calls that were sent here. */
    int callCount() {
      return callCount;
    }

    void setSlow(boolean nowSlow) {
      running.forEach(Work::advance);
      slow = nowSlow;
      running.forEach(Work::plan);
    }

    private void accept(Work work) {
      callCount++;
      queued.add(work);
      startQueued();
      mostCalls = Math.max(mostCalls, running.size() + queued.size());
    }

    private void startQueued() {
      while (running.size() < SLOTS && !queued.isEmpty()) {
        Work work = queued.poll();
        running.add(work);
        work.engine = this;
        work.advancedAt = now;
        work.plan();
      }
    }

    private ResponseHead head() {
      String load = running.size() + "," + queued.size() + "," + SLOTS;
      long speed = Math.round((slow ? SLOWDOWN : 1) * NORMAL_SPEED);
      return new ResponseHead(
          200,
          false,
          false,
          true,
          false,
          1,
          EndpointLoad.parse(statesSpeeds ? load + "," + speed : load),
          NamedLimit.NONE);
    }
  }

  /** One attempt at an engine. */
  private final class Work {
    private final int entry;
    private final long call;
    private final int attempt;
    private Engine engine;
    private double done;
    private long advancedAt;
    private boolean begun;
    private int plan;

    Work(int entry, long call, int attempt) {
      this.entry = entry;
      this.call = call;
      this.attempt = attempt;
    }

    /** Adds what was done since the last time. */
    void advance() {
      done += (now - advancedAt) / (engine.slow ? SLOWDOWN : 1);
      advancedAt = now;
    }

    /** Schedules the first event or the end, in place of what was scheduled before. */
    void plan() {
      double missing = (begun ? WORK_MILLIS : FIRST_EVENT_WORK_MILLIS) - done;
      int current = ++plan;
      schedule(
          now + Math.max(0, (long) Math.ceil(missing * (engine.slow ? SLOWDOWN : 1))),
          () -> {
            if (plan == current) {
              advance();
              reachMilestone();
            }
          });
    }

    private void reachMilestone() {
      CallDecider decider = entries.get(entry);
      if (!begun) {
        begun = true;
        firstEventMillis.add(now - arrivedAt.get(call));
        ResponseHead head = engine.head();
        schedule(
            now + NETWORK_DELAY_MILLIS,
            () -> apply(entry, decider.onResponseHead(now, call, attempt, head)));
        plan();
        return;
      }
      engine.running.remove(this);
      engine.startQueued();
      schedule(
          now + NETWORK_DELAY_MILLIS,
          () -> apply(entry, decider.onResponseEnd(now, call, attempt)));
    }
  }

  private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return time != other.time
          ? Long.compare(time, other.time)
          : Long.compare(sequence, other.sequence);
    }
  }
}
