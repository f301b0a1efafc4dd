package org.cornelchute.policy.crash;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cornelchute.core.message.ControlMessage.CrashEvidenceReport;
import org.cornelchute.core.model.CrashReport;
import org.cornelchute.core.model.ServedPart;

/**
 * Queues observations for the other entries.
 *
 * <p>Reports are not acknowledged, so each own crash is sent several times. If there are more
 * entries than one can report to, each entry passes on what is new to it once.
 */
final class EvidenceExchange {

  /** Number of reports that hold an own crash with an unknown part; datagrams may be lost. */
  private static final int URGENT_REPORTS = 3;

  /** Entries, including this one, up to which all are reached without others passing on. */
  private static final int MAX_DIRECT_ENTRIES = 9;

  private static final int MAX_CRASHES_PER_REPORT = 8;
  private static final int MAX_SERVED_PER_REPORT = 16;
  private static final int MAX_QUEUED_CRASHES = 128;
  private static final int MAX_QUEUED_SERVED = 128;

  /** Time before the first crash at which parts count as served in a summary. */
  private static final long SERVED_MARGIN_MILLIS = 10_000;

  /** Crashes that are sent as the evidence against one part; enough to block it. */
  private static final int MAX_CRASHES_PER_SUSPECT = 6;

  private final Deque<Queued> crashes = new ArrayDeque<>();
  private final Map<Long, Long> servedAtByPart = new LinkedHashMap<>();
  private int entryCount = 1;
  private int nextSuspect;

  void updateEntryCount(int count) {
    entryCount = count;
  }

  /**
   * Queues a crash that this entry saw.
   *
   * @param urgent whether a part of the call was never served; such a crash is reported before
   *     those that are most likely of calls that happened to run at the endpoint
   */
  void announceOwn(Crash crash, boolean urgent) {
    if (urgent) {
      makeRoom();
      crashes.addFirst(new Queued(crash, URGENT_REPORTS));
    } else {
      enqueue(new Queued(crash, 1));
    }
  }

  /** Queues a crash that another entry reported, if not all entries have received that report. */
  void relay(Crash crash) {
    if (entryCount > MAX_DIRECT_ENTRIES) {
      enqueue(new Queued(crash, 1));
    }
  }

  /** Queues a report that a call with a part was served; like {@link #relay}. */
  void relayServed(long part, long at) {
    if (entryCount > MAX_DIRECT_ENTRIES) {
      announceServed(part, at);
    }
  }

  /** Queues the observation that a call with a part was served. */
  void announceServed(long part, long at) {
    if (servedAtByPart.size() < MAX_QUEUED_SERVED || servedAtByPart.containsKey(part)) {
      servedAtByPart.merge(part, at, Math::max);
    }
  }

  /** Takes observations from the queue. */
  CrashEvidenceReport takeReport(long now) {
    List<CrashReport> reports = new ArrayList<>();
    int size = Math.min(MAX_CRASHES_PER_REPORT, crashes.size());
    for (int i = 0; i < size; i++) {
      Queued queued = crashes.pollFirst();
      reports.add(toReport(now, queued.crash));
      if (queued.reportsLeft > 1) {
        crashes.addLast(new Queued(queued.crash, queued.reportsLeft - 1));
      }
    }
    List<ServedPart> served = new ArrayList<>();
    var iterator = servedAtByPart.entrySet().iterator();
    while (iterator.hasNext() && served.size() < MAX_SERVED_PER_REPORT) {
      Map.Entry<Long, Long> entry = iterator.next();
      served.add(new ServedPart(entry.getKey(), Math.max(0, now - entry.getValue())));
      iterator.remove();
    }
    return new CrashEvidenceReport(reports, served);
  }

  /**
   * Returns the evidence against one of the blocked parts, another one with each call, and which
   * other parts in the same crashes were served.
   */
  CrashEvidenceReport summary(long now, List<Suspect> blocked, Map<Long, Long> servedAt) {
    if (blocked.isEmpty()) {
      return new CrashEvidenceReport(List.of(), List.of());
    }
    Suspect suspect = blocked.get(nextSuspect++ % blocked.size());
    List<CrashReport> reports = new ArrayList<>();
    Map<Long, ServedPart> served = new LinkedHashMap<>();
    // That a part was served before tells it from a new one. Its time must not clear the part: it
    // would grow by the delay of each message that passes it on.
    long before = suspect.crashes().get(0).at() - SERVED_MARGIN_MILLIS;
    for (Crash crash : newestCrashes(suspect)) {
      reports.add(toReport(now, crash));
      for (long part : crash.parts()) {
        Long at = servedAt.get(part);
        if (at != null && served.size() < MAX_SERVED_PER_REPORT) {
          served.put(part, new ServedPart(part, Math.max(0, now - Math.min(at, before))));
        }
      }
    }
    return new CrashEvidenceReport(reports, List.copyOf(served.values()));
  }

  /**
   * Returns the newest crashes that a part explains, of different endpoints or different ends of
   * one, and at most {@value #MAX_CRASHES_PER_SUSPECT}.
   */
  static Collection<Crash> newestCrashes(Suspect suspect) {
    List<Crash> newest = new ArrayList<>();
    List<Crash> all = suspect.crashes();
    for (int i = all.size() - 1; i >= 0 && newest.size() < MAX_CRASHES_PER_SUSPECT; i--) {
      Crash crash = all.get(i);
      if (newest.stream().noneMatch(c -> c.endpoint() == crash.endpoint() && !c.isAfter(crash))) {
        newest.add(crash);
      }
    }
    return newest;
  }

  private void enqueue(Queued queued) {
    makeRoom();
    crashes.addLast(queued);
  }

  private void makeRoom() {
    if (crashes.size() >= MAX_QUEUED_CRASHES) {
      crashes.pollLast();
    }
  }

  private static CrashReport toReport(long now, Crash crash) {
    long ageMillis = Math.max(0, now - crash.at());
    if (crash.sentAt() == Long.MIN_VALUE) {
      return new CrashReport(crash.endpoint(), ageMillis, crash.parts());
    }
    long openMillis = Math.max(0, crash.at() - crash.sentAt());
    return new CrashReport(crash.endpoint(), ageMillis, crash.parts(), openMillis, crash.id());
  }

  /** A crash and the number of reports that it is still to be sent in. */
  private record Queued(Crash crash, int reportsLeft) {}
}
