package org.cornelchute.policy.forward;

import java.util.HashMap;
import java.util.Map;

/** What an entry knows of whether other entries may serve what it has to turn away. */
final class OtherEntries {

  /** Time without a word from any other entry after which this one is held to be cut off. */
  private static final long ISOLATION_TIMEOUT_MILLIS = 1_500;

  private final Map<String, Long> confirmedAt = new HashMap<>();
  private long lastReportAt = Long.MIN_VALUE / 4;

  /** Takes how old another entry's configuration is. */
  void recordReport(long now, String entry, long ageMillis) {
    lastReportAt = now;
    confirmedAt.put(entry, now - ageMillis);
  }

  /**
   * Returns whether a caller that asks again at once is likely to find an entry that may serve it.
   *
   * <p>It may where another entry is in touch with the store. Where none is heard of it is this
   * entry that is cut off.
   */
  boolean mayServe(long now, long keyAgeMillis) {
    if (now - lastReportAt >= ISOLATION_TIMEOUT_MILLIS) {
      return true;
    }
    for (long at : confirmedAt.values()) {
      if (now - at < keyAgeMillis) {
        return true;
      }
    }
    return false;
  }
}
