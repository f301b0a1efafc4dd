package org.cornelchute.policy.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Tells which version of a model's weights a new call must begin on at least. */
final class VersionGate {

  private final Map<String, TreeMap<Long, Long>> learnedAtByModel = new HashMap<>();

  /** Takes a version that was learnt at a time; the earliest time that is heard of counts. */
  void recordVersion(long learnt, String model, long version) {
    learnedAtByModel.computeIfAbsent(model, m -> new TreeMap<>()).merge(version, learnt, Math::min);
  }

  /**
   * Returns the lowest version that may begin a call now; 0 if any may.
   *
   * @param graceMillis time from learning of a version until it is required
   */
  long requiredVersion(long now, String model, long graceMillis) {
    TreeMap<Long, Long> learnt = learnedAtByModel.get(model);
    if (learnt == null) {
      return 0;
    }
    for (Map.Entry<Long, Long> e : learnt.descendingMap().entrySet()) {
      if (now - e.getValue() >= graceMillis) {
        return e.getKey();
      }
    }
    return 0;
  }
}
