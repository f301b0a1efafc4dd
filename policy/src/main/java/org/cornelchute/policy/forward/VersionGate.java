package org.cornelchute.policy.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Tells which version of a model's weights a new call must begin on at least. */
final class VersionGate {

  private final long graceMillis;
  private final Map<String, TreeMap<Long, Long>> dueByModel = new HashMap<>();

  /** Creates a gate; a version is required this long after it was learnt. */
  VersionGate(long graceMillis) {
    this.graceMillis = graceMillis;
  }

  /** Takes a version that was learnt at a time. */
  void named(long learnt, String model, long version) {
    dueByModel
        .computeIfAbsent(model, m -> new TreeMap<>())
        .putIfAbsent(version, learnt + graceMillis);
  }

  /** Returns the lowest version that may begin a call now; 0 if any may. */
  long required(long now, String model) {
    TreeMap<Long, Long> due = dueByModel.get(model);
    if (due == null) {
      return 0;
    }
    for (Map.Entry<Long, Long> e : due.descendingMap().entrySet()) {
      if (now >= e.getValue()) {
        return e.getKey();
      }
    }
    return 0;
  }
}
