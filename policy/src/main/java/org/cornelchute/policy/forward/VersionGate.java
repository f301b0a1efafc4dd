package org.cornelchute.policy.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Determines the minimum version of a model's weights that a new call may start on. */
final class VersionGate {

  private final Map<String, TreeMap<Long, Long>> seenAtByModel = new HashMap<>();

  /** Records the time at which a version was seen; the earliest recorded time counts. */
  void recordVersion(long seenAt, String model, long version) {
    seenAtByModel.computeIfAbsent(model, m -> new TreeMap<>()).merge(version, seenAt, Math::min);
  }

  /**
   * Returns the minimum version that a call may start on now; 0 if any version may be used.
   *
   * @param graceMillis time from the first sighting of a version until it becomes required
   */
  long requiredVersion(long now, String model, long graceMillis) {
    TreeMap<Long, Long> seenAtByVersion = seenAtByModel.get(model);
    if (seenAtByVersion == null) {
      return 0;
    }
    for (Map.Entry<Long, Long> e : seenAtByVersion.descendingMap().entrySet()) {
      if (now - e.getValue() >= graceMillis) {
        return e.getKey();
      }
    }
    return 0;
  }
}
