package org.cornelchute.policy.crash;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelchute.policy.util.RendezvousHash;

/**
 * Decides when one call with a blocked part is sent on trial, so that a harmless part does not stay
 * blocked.
 *
 * <p>The entries take turns without messages: each has a rank for a part and a number of crashes,
 * and the next may send a trial only after the one before has had time to report its outcome. After
 * {@value #CERTAIN_CRASHES} crashes trials are hours apart.
 */
final class TrialSchedule {

  /** Crashes from which on a part is almost certainly harmful. */
  static final int CERTAIN_CRASHES = 5;

  private static final long FIRST_DELAY_MILLIS = 5_000;

  /**
   * Delay of the trial after one that crashed an endpoint. Entries that are cut off from each other
   * each find the part and try it, so that their trials add up.
   */
  private static final long SECOND_DELAY_MILLIS = 20_000;

  /** Time between the trials of two entries, in which the first one's outcome is reported. */
  private static final long TURN_MILLIS = 5_000;

  /** Delay of the first trial after {@value #CERTAIN_CRASHES} crashes. */
  private static final long LATE_DELAY_MILLIS = 3_600_000;

  private static final long MAX_DELAY_MILLIS = 86_400_000;

  private final String self;
  private final Map<RankKey, Integer> ranks = new HashMap<>();
  private final Map<Long, Long> trialAtByPart = new HashMap<>();
  private List<String> entries = List.of();

  TrialSchedule(String self) {
    this.self = self;
  }

  void updateEntries(Collection<String> names) {
    entries = List.copyOf(names);
    ranks.clear();
  }

  /** Returns whether this entry may send a call with a blocked part now. */
  boolean isDue(long now, Suspect suspect) {
    long trialAt = trialAtByPart.getOrDefault(suspect.part(), Long.MIN_VALUE);
    long from = Math.max(suspect.lastCrashAt(), trialAt);
    long delay = delayMillis(suspect.crashCount());
    return now - from >= delay + rank(suspect) * TURN_MILLIS;
  }

  /** Records that a call with a blocked part was sent. */
  void recordTrial(long now, long part) {
    trialAtByPart.put(part, now);
  }

  /** Forgets the trials of parts that are blocked no longer. */
  void retain(Collection<Long> blockedParts) {
    trialAtByPart.keySet().retainAll(blockedParts);
    ranks.keySet().removeIf(key -> !blockedParts.contains(key.part));
  }

  private static long delayMillis(int crashCount) {
    if (crashCount < CERTAIN_CRASHES) {
      return crashCount < CERTAIN_CRASHES - 1 ? FIRST_DELAY_MILLIS : SECOND_DELAY_MILLIS;
    }
    return crashCount == CERTAIN_CRASHES ? LATE_DELAY_MILLIS : MAX_DELAY_MILLIS;
  }

  private int rank(Suspect suspect) {
    return ranks.computeIfAbsent(
        new RankKey(suspect.part(), suspect.crashCount()), key -> rank(key.toString()));
  }

  private int rank(String key) {
    return Math.max(0, RendezvousHash.order(key, entries).indexOf(self));
  }

  private record RankKey(long part, int crashCount) {}
}
