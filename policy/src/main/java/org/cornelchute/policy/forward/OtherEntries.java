package org.cornelchute.policy.forward;

import java.util.HashMap;
import java.util.Map;

/** Tracks whether other entries can probably serve calls that this entry must reject. */
final class OtherEntries {

  /** Time without a report from any other entry after which this one is considered isolated. */
  private static final long ISOLATION_TIMEOUT_MILLIS = 1_500;

  private final Map<String, Long> confirmedAtByEntry = new HashMap<>();
  private long lastReportAt = Long.MIN_VALUE / 4;

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
   * if no entry has reported lately, because then this entry is probably isolated and the others
   * still reach the store.
   */
  boolean mayServe(long now, long maxKeyAgeMillis) {
    if (now - lastReportAt >= ISOLATION_TIMEOUT_MILLIS) {
      return true;
    }
    for (long confirmedAt : confirmedAtByEntry.values()) {
      if (now - confirmedAt < maxKeyAgeMillis) {
        return true;
      }
    }
    return false;
  }
}
