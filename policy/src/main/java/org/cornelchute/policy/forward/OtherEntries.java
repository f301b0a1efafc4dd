package org.cornelchute.policy.forward;

import java.util.HashMap;
import java.util.Map;

/** Tracks whether other entries can probably serve calls that this entry must reject. */
final class OtherEntries {

  /** Time without a report from any other entry after which this one is considered isolated. */
  private static final long ISOLATION_TIMEOUT_MILLIS = 1_500;

  private final Map<String, Long> confirmedAtByEntry = new HashMap<>();

  /** Time of the last report; the start of the process if there was none. */
  private long lastReportAt;

  /**
   * Creates a record without reports.
   *
   * @param startedAt time at which the process started
   */
  OtherEntries(long startedAt) {
    this.lastReportAt = startedAt;
  }

  /** Records a report of another entry with the age of its configuration. */
  void recordReport(long now, String entry, long ageMillis) {
    lastReportAt = now;
    confirmedAtByEntry.put(entry, now - ageMillis);
  }

  /**
   * Returns whether a caller that retries immediately is likely to reach an entry that can serve
   * it.
   *
   * <p>This is the case if another entry has a recently confirmed configuration. It is also assumed
   * if other entries are known and none has reported lately, because then this entry is probably
   * isolated and the others still reach the store.
   *
   * @param listKnown whether the list of entries was read
   * @param otherCount number of other entries that were found
   */
  Availability availability(long now, long maxKeyAgeMillis, boolean listKnown, int otherCount) {
    if (otherCount == 0) {
      return listKnown ? Availability.UNLIKELY : Availability.UNKNOWN;
    }
    if (now - lastReportAt >= ISOLATION_TIMEOUT_MILLIS) {
      return Availability.LIKELY;
    }
    for (long confirmedAt : confirmedAtByEntry.values()) {
      if (now - confirmedAt < maxKeyAgeMillis) {
        return Availability.LIKELY;
      }
    }
    return confirmedAtByEntry.isEmpty() ? Availability.UNKNOWN : Availability.UNLIKELY;
  }

  /** Whether other entries can serve calls. */
  enum Availability {
    /** Another entry can probably serve calls. */
    LIKELY,
    /** There is no other entry, or none of them can serve calls. */
    UNLIKELY,
    /** Nothing is known about other entries yet. */
    UNKNOWN
  }
}
