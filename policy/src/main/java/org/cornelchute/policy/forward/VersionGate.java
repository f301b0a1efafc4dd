package org.cornelchute.policy.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Determines the minimum version of a model's weights that a new call may start on.
 *
 * <p>The time since the assignment of a version is confirmed by the first sighting of any entry, or
 * only bounded by what this process knew before. A bound counts as the time of assignment until the
 * sighting is known: a version of unknown age is treated as old, since a call that starts on
 * superseded weights cannot be undone, while a rejected call can be retried elsewhere.
 */
final class VersionGate {

  private final Map<String, TreeMap<Long, Sighting>> sightingsByModel = new HashMap<>();

  /** Records the confirmed time of a sighting; the earliest confirmed time counts. */
  void recordVersion(long seenAt, String model, long version) {
    sightings(model).merge(version, new Sighting(seenAt, true), Sighting::mergeConfirmed);
  }

  /**
   * Records a version whose first sighting is not known yet; ignored if it is confirmed.
   *
   * @param earliestAt time before which the version cannot have been assigned
   */
  void recordUnconfirmed(long earliestAt, String model, long version) {
    sightings(model).putIfAbsent(version, new Sighting(earliestAt, false));
  }

  /**
   * Records that the known times no longer hold, since they are on a clock that stood still.
   *
   * @param earliestAt time that counts as the assignment of each version until it is confirmed
   */
  void invalidate(long earliestAt) {
    for (TreeMap<Long, Sighting> sightings : sightingsByModel.values()) {
      sightings.replaceAll((version, sighting) -> new Sighting(earliestAt, false));
    }
  }

  /** Returns whether the first sighting of the newest version of a model is known. */
  boolean isNewestConfirmed(String model) {
    Map.Entry<Long, Sighting> newest = sightings(model).lastEntry();
    return newest == null || newest.getValue().confirmed();
  }

  /**
   * Returns the minimum version that a call may start on now; 0 if any version may be used.
   *
   * @param graceMillis time from the first sighting of a version until it becomes required
   */
  long requiredVersion(long now, String model, long graceMillis) {
    return findRequired(now, model, graceMillis, false);
  }

  /** Returns the same as {@link #requiredVersion}, from confirmed sightings only. */
  long confirmedRequiredVersion(long now, String model, long graceMillis) {
    return findRequired(now, model, graceMillis, true);
  }

  private long findRequired(long now, String model, long graceMillis, boolean confirmedOnly) {
    for (Map.Entry<Long, Sighting> e : sightings(model).descendingMap().entrySet()) {
      Sighting sighting = e.getValue();
      if (now - sighting.seenAt() >= graceMillis && (sighting.confirmed() || !confirmedOnly)) {
        return e.getKey();
      }
    }
    return 0;
  }

  private TreeMap<Long, Sighting> sightings(String model) {
    return sightingsByModel.computeIfAbsent(model, m -> new TreeMap<>());
  }

  /**
   * Time at which a version was first seen.
   *
   * @param seenAt that time, or a time before it if it is not confirmed
   * @param confirmed whether the time is that of a sighting
   */
  private record Sighting(long seenAt, boolean confirmed) {

    private Sighting mergeConfirmed(Sighting other) {
      return confirmed && seenAt < other.seenAt ? this : other;
    }
  }
}
