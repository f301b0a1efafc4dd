package org.cornelchute.policy.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.cornelchute.core.message.ControlMessage.CrashEvidenceReport;
import org.cornelchute.core.message.ControlMessage.EndpointLimitsReport;
import org.cornelchute.core.model.OpenCalls;
import org.cornelchute.policy.crash.CrashEvidence;

/**
 * Callers, entries that report to each other, and engines that end and start again, in virtual
 * time. An engine that begins to write an answer to a call with a harmful part of the prompt
 * crashes.
 */
final class EngineSimulation {

  static final long START_MILLIS = 1_000_000;
  private static final long NETWORK_DELAY_MILLIS = 2;
  private static final long SWEEP_INTERVAL_MILLIS = 50;
  private static final long REPORT_INTERVAL_MILLIS = 100;
  private static final double DATAGRAM_LOSS = 0.02;
  private static final long CONNECT_TIMEOUT_MILLIS = 250;
  private static final long EVENT_INTERVAL_MILLIS = 150;
  private static final long CRASH_DELAY_MILLIS = 60;
  private static final long DIRECTORY_DELAY_MILLIS = 300;
  private static final long REMOVAL_DELAY_MILLIS = 1_500;
  private static final int MEAN_ANSWER_MILLIS = 900;

  /** What entries see of the end of an engine. */
  enum CrashMode {
    /** The head of the response, and then closed connections. */
    AFTER_HEAD,

    /** Closed connections, and no head of the response that crashed it. */
    BEFORE_HEAD,

    /** Nothing: connections stay open and silent, and new ones are not opened. */
    SILENT
  }

  /** One call of a caller to one entry. */
  static final class Sent {
    final long number;
    final int entry;
    final long sentAt;
    final List<Long> parts;
    boolean returned;
    boolean beganAtFirstAttempt;
    Rejection rejection;

    Sent(long number, int entry, long sentAt, List<Long> parts) {
      this.number = number;
      this.entry = entry;
      this.sentAt = sentAt;
      this.parts = parts;
    }
  }

  /** An attempt that reached an engine. */
  record Arrival(long sentAt, long at, int slot, int entry, int attempt, List<Long> parts) {}

  /** The end of an engine, with the parts of the call that crashed it, none if it was killed. */
  record Crash(long at, int slot, List<Long> parts) {}

  final List<CallDecider> entries = new ArrayList<>();
  final List<Sent> calls = new ArrayList<>();
  final List<Arrival> arrivals = new ArrayList<>();
  final List<Crash> crashes = new ArrayList<>();
  final Set<Long> harmfulParts = new HashSet<>();
  final Random random;
  long now = START_MILLIS;

  /** How an engine ends when a harmful part crashes it; by default after the head. */
  Supplier<CrashMode> crashMode = () -> CrashMode.AFTER_HEAD;

  /** Whether responses are streams of events rather than one event at their end. */
  boolean sendsEvents;

  /** Time from the end of an engine to its next start. */
  long restartMillis = 3_000;

  /** Time for which a read or write of the store takes. */
  long storeMillis;

  /** Time for which an engine that started again is cold. */
  long coldMillis;

  /** Time from the start of an engine until the entries read its row in the directory. */
  long listingMillis = DIRECTORY_DELAY_MILLIS;

  private final boolean keepsIds;

  /** Number of entries at the start; later ones are of the last region. */
  private final int firstEntries;

  private final List<String> names = new ArrayList<>();
  private final List<Engine> engines = new ArrayList<>();

  /** What the entries have stored: crashes by part. */
  private final Map<Long, Integer> storedParts = new HashMap<>();

  private final Set<Integer> silentEntries = new HashSet<>();

  /** Cuts between entries and engines. */
  private final List<LinkCut> linkCuts = new ArrayList<>();

  /** Entries of a region that is cut from the others, empty if none is. */
  private final Set<Integer> cutRegion = new HashSet<>();

  /** Time until which an entry stands still; what reaches it meanwhile is handled then. */
  private final Map<Integer, Long> frozenUntil = new HashMap<>();

  private final Map<Long, Sent> callByNumber = new HashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<Told, Long> toldAt = new HashMap<>();
  private long lastNumber;
  private long nextSequence;

  EngineSimulation(int entryCount, int engineCount, long seed) {
    this(entryCount, engineCount, seed, false);
  }

  /**
   * Creates entries and engines.
   *
   * @param keepsIds whether engines start again under the same id
   */
  EngineSimulation(int entryCount, int engineCount, long seed, boolean keepsIds) {
    this.keepsIds = keepsIds;
    this.firstEntries = entryCount;
    random = new Random(seed);
    for (int i = 0; i < engineCount; i++) {
      engines.add(new Engine(i));
    }
    for (int i = 0; i < entryCount; i++) {
      addEntry();
    }
  }

  /** Starts one more entry, which knows nothing of what happened before. */
  int addEntry() {
    int index = entries.size();
    names.add("e" + index);
    entries.add(newDecider(index));
    entries.forEach(e -> e.updateEntries(names));
    return index;
  }

  /** Kills all entries and starts them again; calls in flight are lost. */
  void restartEntries() {
    callByNumber.clear();
    for (int i = 0; i < entries.size(); i++) {
      entries.set(i, newDecider(i));
    }
    entries.forEach(e -> e.updateEntries(names));
  }

  private CallDecider newDecider(int index) {
    CallOptions options = Fixture.optionsOf("e" + index, "d" + index % 3, "r1");
    CallDecider decider = new CallDecider(options, random.nextLong(), now);
    decider.updateConfig(
        Fixture.config(1, Map.of(Fixture.KEY, new WorkspaceSpec("w", 1, List.of()))));
    decider.updateEndpoints(now, listedEngines());
    decider.recordConfirmation(now);
    schedule(
        now + storeMillis,
        () ->
            storedParts.forEach(
                (part, crashes) -> decider.crashEvidence().recordStored(now, part, crashes)));
    return decider;
  }

  // Schedule

  /** Sends calls at a rate, each with its parts, to the entries that a supplier chooses. */
  void sendCalls(
      long fromMillis,
      long toMillis,
      double perSecond,
      Supplier<List<Long>> parts,
      IntSupplier entry) {
    double at = START_MILLIS + fromMillis;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      if (at >= START_MILLIS + toMillis) {
        return;
      }
      schedule((long) at, () -> send(entry.getAsInt(), parts.get(), false));
    }
  }

  int anyEntry() {
    return random.nextInt(entries.size());
  }

  /** Kills engines at a time, each with a probability. */
  void killEngines(long atMillis, double share) {
    killEngines(atMillis, share, 0);
  }

  /** Kills engines from a slot on at a time, each with a probability. */
  void killEngines(long atMillis, double share, int fromSlot) {
    schedule(
        START_MILLIS + atMillis,
        () -> {
          for (Engine engine : engines.subList(fromSlot, engines.size())) {
            if (random.nextDouble() < share) {
              engine.crash(List.of(), false);
            }
          }
        });
  }

  /** Ends engines at a time without closing their connections, each with a probability. */
  void endEnginesSilently(long atMillis, double share) {
    at(
        atMillis,
        () -> {
          for (Engine engine : engines) {
            if (random.nextDouble() < share) {
              engine.crash(List.of(), true);
            }
          }
        });
  }

  /** Makes an engine send nothing for a time, and go on then. */
  void silenceEngine(long fromMillis, long toMillis, int slot) {
    at(fromMillis, () -> engines.get(slot).silentUntil = START_MILLIS + toMillis);
  }

  /** Resets the connections of an engine at a time, each with a probability; it goes on. */
  void resetConnections(long atMillis, int slot, double share) {
    at(atMillis, () -> engines.get(slot).resetConnections(share));
  }

  /** Cuts entries from engines; what they send to each other arrives after the end of the cut. */
  void cutLinks(long fromMillis, long toMillis, Set<Integer> cutEntries, Set<Integer> slots) {
    linkCuts.add(
        new LinkCut(START_MILLIS + fromMillis, START_MILLIS + toMillis, cutEntries, slots));
  }

  /** Returns the time from which an entry and an engine reach each other. */
  private long linkedFrom(int entry, int slot) {
    long from = now;
    for (LinkCut cut : linkCuts) {
      if (cut.from <= now
          && now < cut.to
          && cut.entries.contains(entry)
          && cut.slots.contains(slot)) {
        from = Math.max(from, cut.to);
      }
    }
    return from;
  }

  /** Makes an engine name a limit in its responses from a time on; null for none. */
  void nameLimit(long atMillis, int slot, String limit) {
    at(atMillis, () -> engines.get(slot).limit = limit);
  }

  /** Sets whether an entry and the others can reach each other. */
  void setReporting(int entry, boolean reporting) {
    if (reporting) {
      silentEntries.remove(entry);
    } else {
      silentEntries.add(entry);
    }
  }

  /** Cuts entries from the others, so that no report crosses, until a time. */
  void cutRegion(long fromMillis, long toMillis, Set<Integer> region) {
    at(fromMillis, () -> cutRegion.addAll(region));
    at(toMillis, cutRegion::clear);
  }

  /** Stops an entry for a time; callers, engines and other entries notice nothing. */
  void freeze(int entry, long fromMillis, long toMillis) {
    at(fromMillis, () -> frozenUntil.put(entry, START_MILLIS + toMillis));
  }

  /** Runs what reaches an entry, at the end of its stop if it stands still. */
  private void handleAt(int entry, Runnable action) {
    long until = frozenUntil.getOrDefault(entry, 0L);
    if (now < until) {
      schedule(until, action);
    } else {
      action.run();
    }
  }

  void at(long millis, Runnable action) {
    schedule(START_MILLIS + millis, action);
  }

  /** Runs all events up to a time. */
  void run(long untilMillis) {
    long end = START_MILLIS + untilMillis;
    for (long at = now; at < end; at += SWEEP_INTERVAL_MILLIS) {
      schedule(at, this::sweep);
    }
    for (long at = now; at < end; at += REPORT_INTERVAL_MILLIS) {
      schedule(at, this::exchangeReports);
    }
    while (!events.isEmpty() && events.peek().time < end) {
      Event event = events.poll();
      now = Math.max(now, event.time);
      event.action.run();
    }
  }

  // Results

  /** Returns the time of the fifth crash by a part, or of the last if there are fewer. */
  Optional<Long> lastCountedCrash(long part) {
    return crashes.stream()
        .filter(c -> c.parts.contains(part))
        .limit(5)
        .map(Crash::at)
        .reduce((a, b) -> b);
  }

  /** Returns the attempts with a part that were sent from a time on and reached an engine. */
  long arrivalsWith(long part, long from) {
    return arrivals.stream().filter(a -> a.parts.contains(part) && a.sentAt >= from).count();
  }

  /**
   * Returns the largest number of calls that an engine got in some 4 s that end in a time, from
   * entries that it had told its limit half a second before.
   */
  int mostArrivalsIn4Seconds(int slot, long fromMillis, long toMillis) {
    List<Long> times =
        arrivals.stream()
            .filter(a -> a.slot == slot)
            .filter(
                a ->
                    a.at
                        >= toldAt.getOrDefault(new Told(slot, a.entry), Long.MAX_VALUE - 500) + 500)
            .map(Arrival::at)
            .toList();
    int most = 0;
    for (long end : times) {
      if (end >= START_MILLIS + fromMillis && end < START_MILLIS + toMillis) {
        most =
            Math.max(most, (int) times.stream().filter(t -> t > end - 4_000 && t <= end).count());
      }
    }
    return most;
  }

  /** Returns the number of calls that an engine got in a time. */
  long arrivalsAt(int slot, long fromMillis, long toMillis) {
    return arrivals.stream()
        .filter(a -> a.slot == slot)
        .filter(a -> a.at >= START_MILLIS + fromMillis && a.at < START_MILLIS + toMillis)
        .count();
  }

  /** Returns the share of the calls without harmful parts that began at their first attempt. */
  double beginShare(long from, long to, long firstPart) {
    List<Sent> sound =
        calls.stream()
            .filter(c -> c.sentAt >= from && c.sentAt < to)
            .filter(c -> c.parts.stream().noneMatch(harmfulParts::contains))
            .filter(c -> firstPart < 0 || c.parts.get(0) == firstPart)
            .toList();
    return sound.stream().filter(c -> c.beganAtFirstAttempt).count()
        / (double) Math.max(1, sound.size());
  }

  // Events

  private void sweep() {
    for (int i = 0; i < entries.size(); i++) {
      if (now < frozenUntil.getOrDefault(i, 0L)) {
        continue;
      }
      entries.get(i).recordConfirmation(now);
      apply(i, entries.get(i).sweep(now));
    }
  }

  private void exchangeReports() {
    for (int from = 0; from < entries.size(); from++) {
      if (silentEntries.contains(from) || now < frozenUntil.getOrDefault(from, 0L)) {
        continue;
      }
      String name = names.get(from);
      CrashEvidence evidence = entries.get(from).crashEvidence();
      List<OpenCalls> open = entries.get(from).openCalls();
      CrashEvidenceReport report = evidence.takeReport(now);
      CrashEvidenceReport summary = evidence.summary(now);
      EndpointLimitsReport limits = entries.get(from).endpointLimits().takeReport(now);
      List<Integer> recipients = recipients(name);
      for (int to : recipients) {
        if (silentEntries.contains(to)) {
          continue;
        }
        CallDecider other = entries.get(to);
        deliver(from, to, () -> other.recordEntryReport(now, name, 0, open));
        deliver(from, to, () -> other.crashEvidence().recordReport(now, report));
        deliver(from, to, () -> other.endpointLimits().recordReport(now, limits));
      }
      if (!recipients.isEmpty()) {
        int to = recipients.get(random.nextInt(recipients.size()));
        CallDecider other = entries.get(to);
        deliver(from, to, () -> other.crashEvidence().recordReport(now, summary));
      }
    }
  }

  /** Returns the region of an entry: three of them, the first with a third of the entries. */
  private String regionOf(int entry) {
    return "r" + Math.min(2, entry / (firstEntries / 3 + 1));
  }

  /** Returns the entries that an entry reports to. */
  private List<Integer> recipients(String name) {
    Map<String, String> regionByName = new HashMap<>();
    names.forEach(n -> regionByName.put(n, regionOf(names.indexOf(n))));
    return ReportRecipients.choose(name, regionByName.get(name), regionByName).stream()
        .map(names::indexOf)
        .toList();
  }

  private void deliver(int from, int to, Runnable datagram) {
    if (random.nextDouble() >= DATAGRAM_LOSS
        && cutRegion.contains(from) == cutRegion.contains(to)) {
      schedule(now + NETWORK_DELAY_MILLIS, () -> handleAt(to, datagram));
    }
  }

  private void send(int entry, List<Long> parts, boolean returned) {
    Sent call = new Sent(++lastNumber, entry, now, parts);
    call.returned = returned;
    calls.add(call);
    callByNumber.put(call.number, call);
    long deadlineMillis = returned ? Fixture.TIMEOUT_MILLIS * 2 / 3 : Fixture.TIMEOUT_MILLIS;
    CallSpec spec =
        new CallSpec(
            call.number, "id", "h", "/s/", Fixture.KEY, deadlineMillis, 977, 94, 0, -1, parts);
    handleAt(entry, () -> apply(entry, entries.get(entry).onCall(now, spec)));
  }

  private void apply(int entry, List<CallEffect> effects) {
    for (CallEffect effect : effects) {
      if (effect instanceof CallEffect.Dispatch d) {
        long sentAt = now;
        schedule(now + NETWORK_DELAY_MILLIS, () -> arrive(entry, d, sentAt));
      } else if (effect instanceof CallEffect.StoreBlockedPart p) {
        schedule(now + storeMillis, () -> storedParts.put(p.part(), p.crashCount()));
      } else if (effect instanceof CallEffect.CancelAttempt c) {
        schedule(
            now + NETWORK_DELAY_MILLIS,
            () -> engines.forEach(e -> e.cancel(c.call(), c.attempt())));
      } else if (effect instanceof CallEffect.Reject r) {
        Sent call = callByNumber.get(r.call());
        if (call == null) {
          continue;
        }
        call.rejection = r.rejection();
        if (!call.returned && r.rejection().guaranteesNotExecuted()) {
          schedule(now + r.retryAfterMillis(), () -> send(anyEntry(), call.parts, true));
        }
      }
    }
  }

  private void arrive(int entry, CallEffect.Dispatch dispatch, long sentAt) {
    Sent call = callByNumber.get(dispatch.call());
    if (call == null) {
      return;
    }
    Work work =
        new Work(
            dispatch.call(),
            dispatch.attempt(),
            entry,
            call,
            Math.max(0, dispatch.resumeAfterEventId()));
    Engine engine = engineAt(dispatch.endpoint().address());
    long linkedFrom = linkedFrom(entry, engine.slot);
    if (linkedFrom > now || !engine.running && engine.silentEnd) {
      // A new connection cannot be opened, one that is open already carries nothing.
      if (random.nextBoolean()) {
        schedule(now + CONNECT_TIMEOUT_MILLIS, () -> fail(work, false));
      } else if (linkedFrom > now) {
        schedule(linkedFrom, () -> arrive(entry, dispatch, sentAt));
      }
    } else if (!engine.running) {
      schedule(now + NETWORK_DELAY_MILLIS, () -> fail(work, false));
    } else if (!engine.id().equals(dispatch.endpoint().id())) {
      ResponseHead head =
          new ResponseHead(421, true, true, false, false, 0, -1, 0, NamedLimit.NONE);
      engine.send(
          entry, () -> entries.get(entry).onResponseHead(now, work.call, work.attempt, head));
    } else {
      arrivals.add(new Arrival(sentAt, now, engine.slot, entry, dispatch.attempt(), call.parts));
      engine.accept(work);
    }
  }

  private Engine engineAt(String address) {
    return engines.stream().filter(e -> e.address().equals(address)).findFirst().orElseThrow();
  }

  private void fail(Work work, boolean sent) {
    handleAt(
        work.entry,
        () ->
            apply(
                work.entry,
                entries
                    .get(work.entry)
                    .onAttemptFailure(now, work.call, work.attempt, sent, "closed")));
  }

  private List<EndpointSpec> listedEngines() {
    return engines.stream().filter(e -> e.listedId != null).map(Engine::listed).toList();
  }

  private void publishEngines() {
    List<EndpointSpec> specs = listedEngines();
    entries.forEach(e -> e.updateEndpoints(now, specs));
  }

  private void schedule(long time, Runnable action) {
    events.add(new Event(time, nextSequence++, action));
  }

  /** One engine and its successive incarnations. */
  private final class Engine {
    final int slot;
    final List<Work> work = new ArrayList<>();
    int life;
    boolean running = true;

    /** Whether it ended last without closing its connections. */
    boolean silentEnd;

    /** Time until which it sends nothing, though it runs. */
    long silentUntil;

    /** Limit that its responses name, null if none. */
    String limit;

    String listedId;

    /** Incarnation that the directory lists. */
    int listedLife;

    Engine(int slot) {
      this.slot = slot;
      this.listedId = id();
    }

    String id() {
      return keepsIds ? "i" + slot : "i" + slot + "-" + life;
    }

    String address() {
      return "10.0.0." + slot + ":80";
    }

    /** Lets something that it sends to an entry take effect there. */
    void send(int entry, Supplier<List<CallEffect>> effects) {
      long sendsFrom = Math.max(silentUntil, linkedFrom(entry, slot));
      if (sendsFrom > now) {
        int startedLife = life;
        schedule(
            sendsFrom,
            () -> {
              if (life == startedLife && (running || !silentEnd)) {
                send(entry, effects);
              }
            });
        return;
      }
      schedule(
          now + NETWORK_DELAY_MILLIS, () -> handleAt(entry, () -> apply(entry, effects.get())));
    }

    void resetConnections(double share) {
      for (Work w : List.copyOf(work)) {
        if (random.nextDouble() < share) {
          work.remove(w);
          schedule(now + NETWORK_DELAY_MILLIS, () -> fail(w, true));
        }
      }
    }

    EndpointSpec listed() {
      String domain = "d" + slot % 3;
      return new EndpointSpec(
          listedId,
          "engines",
          address(),
          domain,
          domain,
          16,
          false,
          listedLife == 0 ? 0 : coldMillis,
          START_MILLIS + listedLife,
          "m",
          1);
    }

    void accept(Work w) {
      work.add(w);
      beginLater(w, now + 120 + random.nextInt(250));
    }

    private void begin(Work w) {
      if (silentUntil > now) {
        beginLater(w, silentUntil);
        return;
      }
      if (w.attempt == 1) {
        w.sent.beganAtFirstAttempt = true;
      }
      boolean harmful = w.sent.parts.stream().anyMatch(harmfulParts::contains);
      CrashMode mode = crashMode.get();
      if (harmful && mode != CrashMode.AFTER_HEAD) {
        crash(w.sent.parts, mode == CrashMode.SILENT);
        return;
      }
      int active = work.size();
      NamedLimit named = NamedLimit.parse(limit);
      if (named.kind() == NamedLimit.Kind.NAMED) {
        long readAt = Math.max(now, frozenUntil.getOrDefault(w.entry, 0L));
        toldAt.putIfAbsent(new Told(slot, w.entry), readAt + NETWORK_DELAY_MILLIS);
      }
      ResponseHead head = new ResponseHead(200, false, false, true, false, 1, active, 0, named);
      send(w.entry, () -> entries.get(w.entry).onResponseHead(now, w.call, w.attempt, head));
      int startedLife = life;
      if (harmful) {
        schedule(
            now + CRASH_DELAY_MILLIS,
            () -> {
              if (life == startedLife && running) {
                crash(w.sent.parts, false);
              }
            });
        return;
      }
      long answerMillis = 200 + Math.round(-Math.log(1 - random.nextDouble()) * MEAN_ANSWER_MILLIS);
      endLater(w, now + answerMillis);
      if (sendsEvents) {
        sendEvents(w, w.resumeAfter + 1);
      }
    }

    private void sendEvents(Work w, long id) {
      send(w.entry, () -> entries.get(w.entry).onResponseProgress(now, w.call, w.attempt, id));
      int startedLife = life;
      schedule(
          Math.max(silentUntil, now + EVENT_INTERVAL_MILLIS),
          () -> {
            if (life == startedLife && running && work.contains(w)) {
              sendEvents(w, id + 1);
            }
          });
    }

    private void beginLater(Work w, long time) {
      int startedLife = life;
      schedule(
          time,
          () -> {
            if (life == startedLife && running && work.contains(w)) {
              begin(w);
            }
          });
    }

    private void endLater(Work w, long time) {
      int startedLife = life;
      schedule(
          time,
          () -> {
            if (life == startedLife && running && work.remove(w)) {
              send(w.entry, () -> entries.get(w.entry).onResponseEnd(now, w.call, w.attempt));
            }
          });
    }

    void crash(List<Long> parts, boolean silent) {
      if (!running) {
        return;
      }
      crashes.add(new Crash(now, slot, parts));
      running = false;
      silentEnd = silent;
      if (!silent) {
        for (Work w : work) {
          schedule(now + NETWORK_DELAY_MILLIS, () -> fail(w, true));
        }
      }
      work.clear();
      if (!keepsIds) {
        schedule(
            now + REMOVAL_DELAY_MILLIS,
            () -> {
              listedId = null;
              publishEngines();
            });
      }
      int nextLife = life + 1;
      schedule(
          now + restartMillis,
          () -> {
            life = nextLife;
            running = true;
          });
      schedule(
          now + restartMillis + listingMillis,
          () -> {
            listedId = id();
            listedLife = nextLife;
            publishEngines();
          });
    }

    void cancel(long call, int attempt) {
      work.removeIf(w -> w.call == call && w.attempt == attempt);
    }
  }

  /** One attempt at an engine. */
  private record Work(long call, int attempt, int entry, Sent sent, long resumeAfter) {}

  /** A cut between entries and engines, by slot. */
  private record LinkCut(long from, long to, Set<Integer> entries, Set<Integer> slots) {}

  /** An entry that an engine has told its limit. */
  private record Told(int slot, int entry) {}

  private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return time != other.time
          ? Long.compare(time, other.time)
          : Long.compare(sequence, other.sequence);
    }
  }
}
