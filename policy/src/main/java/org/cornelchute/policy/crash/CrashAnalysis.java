package org.cornelchute.policy.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds the parts of prompts that explain the crashes of endpoints.
 *
 * <p>A crash breaks off all responses of the endpoint, so most of the parts that are seen in it are
 * harmless. A harmful part is seen in all the crashes that it causes, and no call with it is
 * served. The analysis therefore takes the part that is seen in most crashes since it was last
 * served, attributes these crashes to it, and continues with the remaining crashes. Parts that were
 * never served come first; parts that were need more crashes, since parts of many calls may be seen
 * in several crashes between two calls that are served. Of parts that are seen in the same crashes,
 * it takes the last one in the prompt, which fewer calls share.
 */
final class CrashAnalysis {

  /** Time in which crashes of several endpoints count as one, since they may have one cause. */
  private static final long SAME_CAUSE_MILLIS = 100;

  /**
   * Crashes of one listed incarnation that count. Fewer than those from which on trials are hours
   * apart, since an endpoint that breaks off its responses for another reason does so repeatedly.
   */
  private static final int MAX_CAUSES_PER_ENDPOINT = TrialSchedule.CERTAIN_CRASHES - 1;

  private final Map<Long, Long> servedAtByPart;
  private final Map<Long, List<Crash>> crashesByPart = new HashMap<>();
  private final Map<Long, Integer> positionByPart = new HashMap<>();

  /** End of the incarnation of an endpoint that each crash, by its id, belongs to. */
  private final Map<Integer, End> endByCrash = new HashMap<>();

  private final Set<End> explainedEnds = new HashSet<>();

  private CrashAnalysis(Collection<Crash> crashes, Map<Long, Long> servedAtByPart) {
    this.servedAtByPart = servedAtByPart;
    List<Crash> ordered = new ArrayList<>(crashes);
    ordered.sort(Comparator.comparingLong(Crash::at));
    assignEnds(ordered);
    for (Crash crash : ordered) {
      for (int i = 0; i < crash.parts().size(); i++) {
        long part = crash.parts().get(i);
        if (servedAtByPart.getOrDefault(part, Long.MIN_VALUE) < crash.at()) {
          crashesByPart.computeIfAbsent(part, p -> new ArrayList<>(2)).add(crash);
          positionByPart.merge(part, i, Math::max);
        }
      }
    }
  }

  /** Finds the least number of ends of endpoints that explains all crashes. */
  private void assignEnds(List<Crash> ordered) {
    Map<Integer, Crash> firstByEndpoint = new HashMap<>();
    Map<Integer, Integer> countByEndpoint = new HashMap<>();
    for (Crash crash : ordered) {
      Crash first = firstByEndpoint.get(crash.endpoint());
      if (first == null || crash.isAfter(first)) {
        firstByEndpoint.put(crash.endpoint(), crash);
        countByEndpoint.merge(crash.endpoint(), 1, Integer::sum);
      }
      int number = countByEndpoint.get(crash.endpoint());
      endByCrash.put(crash.id(), new End(crash.endpoint(), number));
    }
  }

  /**
   * Returns the suspects by part.
   *
   * @param servedAtByPart time at which a call with a part was last served, if it was
   */
  static Map<Long, Suspect> findSuspects(
      Collection<Crash> crashes, Map<Long, Long> servedAtByPart) {
    return new CrashAnalysis(crashes, servedAtByPart).findSuspects();
  }

  private Map<Long, Suspect> findSuspects() {
    Map<Long, Suspect> suspects = new HashMap<>();
    List<Suspect> candidates = findCandidates(crashesByPart.keySet());
    while (!candidates.isEmpty()) {
      Suspect best = candidates.stream().max(this::compare).orElseThrow();
      if (!best.isBlocked()) {
        candidates.forEach(s -> suspects.put(s.part(), s));
        return suspects;
      }
      suspects.put(best.part(), best);
      best.crashes().forEach(c -> explainedEnds.add(endByCrash.get(c.id())));
      candidates.remove(best);
      candidates = findCandidates(candidates.stream().map(Suspect::part).toList());
    }
    return suspects;
  }

  private int compare(Suspect a, Suspect b) {
    return Comparator.comparing(Suspect::isBlocked)
        .thenComparing((Suspect s) -> !s.servedBefore())
        .thenComparingInt(Suspect::crashCount)
        .thenComparingInt((Suspect s) -> positionByPart.get(s.part()))
        .thenComparingLong(Suspect::part)
        .compare(a, b);
  }

  /** Returns those of the parts that enough unexplained crashes speak against. */
  private List<Suspect> findCandidates(Collection<Long> parts) {
    List<Suspect> candidates = new ArrayList<>();
    for (long part : parts) {
      List<Crash> unexplained =
          crashesByPart.get(part).stream()
              .filter(c -> !explainedEnds.contains(endByCrash.get(c.id())))
              .toList();
      if (unexplained.isEmpty()) {
        continue;
      }
      Suspect candidate =
          new Suspect(
              part,
              servedAtByPart.containsKey(part),
              countCrashes(unexplained),
              unexplained.get(unexplained.size() - 1).at(),
              unexplained);
      if (candidate.isSuspect()) {
        candidates.add(candidate);
      }
    }
    return candidates;
  }

  /**
   * Counts the crashes of a part. Those that were read from the store may be observations of the
   * others up to that time, which entries also report.
   */
  private int countCrashes(List<Crash> crashes) {
    List<Crash> stored = crashes.stream().filter(Crash::isStored).toList();
    if (stored.isEmpty()) {
      return countCauses(crashes);
    }
    long readAt = stored.get(stored.size() - 1).at();
    List<Crash> before = crashes.stream().filter(c -> !c.isStored() && c.at() <= readAt).toList();
    List<Crash> after = crashes.stream().filter(c -> !c.isStored() && c.at() > readAt).toList();
    return Math.max(stored.size(), countCauses(before)) + countCauses(after);
  }

  private int countCauses(List<Crash> crashes) {
    Set<End> ends = new HashSet<>();
    Map<Integer, Integer> countByEndpoint = new HashMap<>();
    int count = 0;
    long lastCauseAt = 0;
    for (Crash crash : crashes) {
      boolean sameCause = count > 0 && crash.at() - lastCauseAt < SAME_CAUSE_MILLIS;
      if (ends.add(endByCrash.get(crash.id()))
          && !sameCause
          && countByEndpoint.merge(crash.endpoint(), 1, Integer::sum) <= MAX_CAUSES_PER_ENDPOINT) {
        count++;
        lastCauseAt = crash.at();
      }
    }
    return count;
  }

  /** One of the ends of an endpoint that are listed as one incarnation, numbered from 1. */
  private record End(int endpoint, int number) {}
}
