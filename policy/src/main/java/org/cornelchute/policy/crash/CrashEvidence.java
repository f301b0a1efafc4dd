package org.cornelchute.policy.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.cornelchute.core.message.ControlMessage.CrashEvidenceReport;
import org.cornelchute.core.model.CrashReport;
import org.cornelchute.core.model.ServedPart;

/**
 * Decides which calls are not sent because a part of their prompt crashes endpoints (a query of
 * death), from the responses that broke off and were served at all entries.
 *
 * <p>Only observations are exchanged, and each entry draws the conclusions: a part that was seen in
 * a crash is cleared as soon as any entry has served a call with it. The record is bounded, since
 * callers can invent parts; crashes of blocked parts are the last to be evicted.
 */
public final class CrashEvidence {

  /** Maximum number of crashes that are recorded. */
  private static final int MAX_CRASHES = 256;

  /** Time after which a crash that blocks no part is removed. */
  private static final long RETENTION_MILLIS = 3_600_000;

  /** Age of a reported observation above which it is ignored as malformed. */
  private static final long MAX_AGE_MILLIS = 30L * 86_400_000;

  /** Maximum number of shared parts of a prompt that are recorded. */
  private static final int MAX_PARTS = 32;

  /** Maximum number of parts of which the time of the last service is kept. */
  private static final int MAX_SERVED_PARTS = 4_096;

  /**
   * Longest time for which calls wait until the stored parts are read. The read may fail for longer
   * than all others, and most calls are harmless.
   */
  private static final long MAX_STORED_WAIT_MILLIS = 2_300;

  /** Maximum number of observations of crashes whose record is another observation. */
  private static final int MAX_MERGED_CRASHES = 1_024;

  private final String self;

  /** Crashes by id, each with the first of the observations of it that have the same parts. */
  private final Map<Integer, Crash> crashes = new LinkedHashMap<>();

  /** Id of the recorded crash by the id of another observation of it, which may be repeated. */
  private final Map<Integer, Integer> mergedCrashes =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Integer> eldest) {
          return size() > MAX_MERGED_CRASHES;
        }
      };

  private final Map<Long, Long> servedAtByPart =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_SERVED_PARTS;
        }
      };

  /** Ids of the crashes that block parts. */
  private final Set<Integer> pinnedCrashes = new HashSet<>();

  private final TrialSchedule trials;
  private final EvidenceExchange exchange = new EvidenceExchange();
  private final List<PartChange> changes = new ArrayList<>();

  /** Parts that this entry has observed itself since the last analysis. */
  private final Set<Long> observedParts = new HashSet<>();

  private Map<Long, Suspect> suspects = Map.of();
  private boolean outdated;

  /** Whether the parts that were blocked before this process started are still to be read. */
  private boolean storedAwaited;

  /** Time until which calls wait for these parts, set when the first call asks. */
  private long storedAwaitedUntil = Long.MAX_VALUE;

  private int lastObservation;

  /**
   * Creates a record without observations.
   *
   * @param self name of this entry
   */
  public CrashEvidence(String self) {
    this.self = self;
    this.trials = new TrialSchedule(self);
  }

  /** Replaces the names of all entries, including this one. */
  public void updateEntries(Collection<String> names) {
    trials.updateEntries(names);
    exchange.updateEntryCount(names.size());
  }

  // Decisions

  /** Returns whether a call with these parts must not be sent. */
  public boolean isBlocked(long now, List<Long> parts) {
    for (long part : parts) {
      Suspect suspect = suspects(now).get(part);
      if (suspect != null && suspect.isBlocked() && !trials.isDue(now, suspect)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether parts may be unknown that were blocked before this process started, so that no
   * call with shared parts should be sent yet. Bounded by {@value #MAX_STORED_WAIT_MILLIS} ms from
   * the first such call on.
   */
  public boolean mayLackStored(long now) {
    if (!storedAwaited) {
      return false;
    }
    storedAwaitedUntil = Math.min(storedAwaitedUntil, now + MAX_STORED_WAIT_MILLIS);
    return now < storedAwaitedUntil;
  }

  /**
   * Returns what {@link #isBlocked} would return, without a change of the record: what is outdated
   * is analyzed on copies and not kept.
   */
  public boolean wouldBlock(long now, List<Long> parts) {
    Map<Long, Suspect> current =
        outdated
            ? CrashAnalysis.findSuspects(crashes.values(), new HashMap<>(servedAtByPart))
            : suspects;
    for (long part : parts) {
      Suspect suspect = current.get(part);
      if (suspect != null && suspect.isBlocked() && !trials.isDue(now, suspect)) {
        return true;
      }
    }
    return false;
  }

  /** Returns what {@link #mayLackStored} would return, without the start of the wait. */
  public boolean wouldLackStored(long now) {
    return storedAwaited && now < storedAwaitedUntil;
  }

  /** Returns whether a call with these parts must not be sent again after it broke off. */
  public boolean isSuspect(long now, List<Long> parts) {
    return parts.stream().anyMatch(suspects(now)::containsKey);
  }

  /** Returns the number of crashes that block a part, 0 if it is not blocked. */
  public int blockedCrashCount(long now, long part) {
    Suspect suspect = suspects(now).get(part);
    return suspect != null && suspect.isBlocked() ? suspect.crashCount() : 0;
  }

  /** Returns whether any entry has seen an endpoint end since a time. */
  public boolean hasCrashedSince(int endpoint, long time) {
    return crashes.values().stream().anyMatch(c -> c.endpoint() == endpoint && c.at() >= time);
  }

  /** Returns the parts that became blocked or were cleared since the last call. */
  public List<PartChange> takeChanges(long now) {
    suspects(now);
    List<PartChange> taken = List.copyOf(changes);
    changes.clear();
    return taken;
  }

  // Observations of this entry

  /** Records that a call is sent. */
  public void recordDispatch(long now, List<Long> parts) {
    for (long part : parts) {
      Suspect suspect = suspects(now).get(part);
      if (suspect != null && suspect.isBlocked()) {
        trials.recordTrial(now, part);
      }
    }
  }

  /**
   * Records the end of an endpoint that a call was sent to and not served by.
   *
   * @param endpoint hash code of the endpoint's incarnation
   * @param sentAt time at which the call was sent, or an earlier one at which the endpoint ran
   * @param endedAt time by which the endpoint had ended, not after {@code now}
   */
  public void recordCrash(long now, int endpoint, long sentAt, long endedAt, List<Long> parts) {
    List<Long> recordedParts = parts.subList(0, Math.min(MAX_PARTS, parts.size()));
    int id = Crash.toId(Objects.hash(self, now, ++lastObservation));
    Crash crash = new Crash(endpoint, id, sentAt, endedAt, recordedParts);
    observedParts.addAll(crash.parts());
    if (add(crash)) {
      exchange.announceOwn(crash, !servedAtByPart.keySet().containsAll(crash.parts()));
    }
  }

  /**
   * Records that a call was served completely. Its parts were harmless when its response began; one
   * may have become harmful since.
   *
   * @param begunAt time at which the response began
   */
  public void recordServed(long begunAt, List<Long> parts) {
    for (long part : parts) {
      if (clear(part, begunAt)) {
        observedParts.add(part);
        exchange.announceServed(part, begunAt);
      }
    }
  }

  /** Records that the parts that were blocked before this process started are to be read. */
  public void awaitStored() {
    storedAwaited = true;
  }

  /** Records that these parts were read. */
  public void recordStoredRead() {
    storedAwaited = false;
  }

  /**
   * Records a part that was blocked before this process started. It counts as many crashes now, so
   * that the next trial is as far away as after the last of them.
   *
   * @param crashCount number of crashes that were attributed to the part; 0 if it was cleared
   */
  public void recordStored(long now, long part, int crashCount) {
    int count = Math.min(crashCount, Crash.MAX_STORED);
    for (int i = 0; i < count; i++) {
      add(Crash.stored(part, i, now));
    }
  }

  // Exchange with other entries

  /** Records the observations of another entry. */
  public void recordReport(long now, CrashEvidenceReport report) {
    for (CrashReport r : report.crashes()) {
      if (isPlausible(r)) {
        Crash crash = toCrash(now, r);
        if (add(crash)) {
          exchange.relay(crash);
        }
      }
    }
    for (ServedPart s : report.served()) {
      if (s.ageMillis() >= 0
          && s.ageMillis() <= MAX_AGE_MILLIS
          && clear(s.part(), now - s.ageMillis())) {
        exchange.relayServed(s.part(), now - s.ageMillis());
      }
    }
  }

  /** Returns the observations to send to the other entries, which may be empty. */
  public CrashEvidenceReport takeReport(long now) {
    return exchange.takeReport(now);
  }

  /**
   * Returns the evidence against some of the blocked parts, in turn, for an entry that may not know
   * it; it may be empty.
   */
  public CrashEvidenceReport summary(long now) {
    return exchange.summary(
        now, suspects(now).values().stream().filter(Suspect::isBlocked).toList(), servedAtByPart);
  }

  // Record

  private static boolean isPlausible(CrashReport report) {
    return report.ageMillis() >= 0
        && report.ageMillis() <= MAX_AGE_MILLIS
        && report.openMillis() >= 0
        && report.openMillis() <= MAX_AGE_MILLIS
        && report.parts().size() <= MAX_PARTS;
  }

  private static Crash toCrash(long now, CrashReport report) {
    long at = now - report.ageMillis();
    List<Long> parts = List.copyOf(report.parts());
    if (report.isNumbered()) {
      return new Crash(report.endpoint(), report.id(), at - report.openMillis(), at, parts);
    }
    int id = Crash.toId(Objects.hash(report.endpoint(), parts));
    return new Crash(report.endpoint(), id, Long.MIN_VALUE, at, parts);
  }

  /** Adds an observation; returns whether it is the first of its crash with these parts. */
  private boolean add(Crash crash) {
    if (crash.parts().isEmpty()) {
      return false;
    }
    Crash known = findKnown(crash);
    if (known == null) {
      crashes.put(crash.id(), crash);
      outdated = true;
      removeOldest();
      return true;
    }
    if (known.id() != crash.id()) {
      mergedCrashes.put(crash.id(), known.id());
    }
    Crash narrowed = known.narrow(crash);
    if (!narrowed.equals(known)) {
      crashes.put(known.id(), narrowed);
      outdated = true;
    }
    return false;
  }

  /** Returns the recorded observation of a crash with the same parts, null if there is none. */
  private Crash findKnown(Crash crash) {
    Crash known = crashes.get(mergedCrashes.getOrDefault(crash.id(), crash.id()));
    if (known != null) {
      return known;
    }
    for (Crash c : crashes.values()) {
      if (c.isSame(crash)) {
        return c;
      }
    }
    return null;
  }

  /** Records that a call with a part was served; returns whether that refutes a crash. */
  private boolean clear(long part, long at) {
    long previous = servedAtByPart.getOrDefault(part, Long.MIN_VALUE);
    if (previous >= at) {
      return false;
    }
    servedAtByPart.put(part, at);
    for (Crash crash : crashes.values()) {
      if (crash.at() > previous && crash.at() <= at && crash.parts().contains(part)) {
        outdated = true;
        return true;
      }
    }
    return false;
  }

  private Map<Long, Suspect> suspects(long now) {
    if (outdated) {
      outdated = false;
      Map<Long, Suspect> found = CrashAnalysis.findSuspects(crashes.values(), servedAtByPart);
      recordChanges(found);
      observedParts.clear();
      suspects = found;
      trials.retain(found.keySet());
      pinCrashes();
      crashes.values().removeIf(c -> isOld(now, c));
    }
    return suspects;
  }

  private void recordChanges(Map<Long, Suspect> found) {
    for (Suspect s : found.values()) {
      Suspect previous = suspects.get(s.part());
      if (s.isBlocked() && (previous == null || previous.crashCount() < s.crashCount())) {
        changes.add(
            new PartChange(s.part(), true, s.crashCount(), observedParts.contains(s.part())));
      }
    }
    for (Suspect s : suspects.values()) {
      Suspect next = found.get(s.part());
      if (s.isBlocked() && (next == null || !next.isBlocked())) {
        changes.add(
            new PartChange(s.part(), false, s.crashCount(), observedParts.contains(s.part())));
      }
    }
  }

  private void pinCrashes() {
    pinnedCrashes.clear();
    for (Suspect suspect : suspects.values()) {
      if (suspect.isBlocked()) {
        EvidenceExchange.newestCrashes(suspect).forEach(c -> pinnedCrashes.add(c.id()));
      }
    }
  }

  private boolean isOld(long now, Crash crash) {
    return now - crash.at() > RETENTION_MILLIS && !pinnedCrashes.contains(crash.id());
  }

  /** Removes the oldest crashes if there are too many; those that block parts last. */
  private void removeOldest() {
    removeOldest(pinnedCrashes);
    removeOldest(Set.of());
  }

  private void removeOldest(Set<Integer> spared) {
    Iterator<Integer> iterator = crashes.keySet().iterator();
    while (crashes.size() > MAX_CRASHES && iterator.hasNext()) {
      if (!spared.contains(iterator.next())) {
        iterator.remove();
      }
    }
  }

  /**
   * A part that became blocked or was cleared.
   *
   * @param part id of the part
   * @param blocked whether calls with the part are rejected from now on
   * @param crashCount number of crashes that are attributed to the part, or were
   * @param own whether an observation of this entry caused the change
   */
  public record PartChange(long part, boolean blocked, int crashCount, boolean own) {}
}
