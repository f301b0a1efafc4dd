package org.cornelchute.policy.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Determines the minimum version of a model's weights that calls may start on.
 *
 * <p>The time at which a version was assigned is known between two bounds only. New calls go by the
 * earlier one: a call that starts on superseded weights cannot be undone, while a rejected call can
 * be retried elsewhere. Calls in flight are canceled by the earlier one as well once the first
 * sighting is known; until then the earlier one may be long past, and they are canceled by the
 * later one.
 */
final class VersionGate {

  private final Map<String, TreeMap<Long, Assignment>> assignmentsByModel = new HashMap<>();

  /**
   * Records bounds of the time at which a version was first seen by any entry. They narrow earlier
   * bounds, and replace them if the sighting is an earlier one.
   */
  void recordSighting(long earliestAt, long latestAt, String model, long version) {
    Assignment sighting = new Assignment(earliestAt, latestAt, true);
    assignments(model).merge(version, sighting, Assignment::narrow);
  }

  /**
   * Records a version whose first sighting is not known yet; ignored if it is known.
   *
   * @param earliestAt time before which the version cannot have been assigned
   * @param latestAt time at which this process learned of the version
   */
  void recordUnconfirmed(long earliestAt, long latestAt, String model, long version) {
    assignments(model).putIfAbsent(version, new Assignment(earliestAt, latestAt, false));
  }

  /**
   * Records that the known times are on a clock that stood still, so that every version may be
   * older than it seems.
   *
   * @param earliestAt earlier bound of each version until its sighting is recorded again
   */
  void invalidate(long earliestAt) {
    for (TreeMap<Long, Assignment> assignments : assignmentsByModel.values()) {
      assignments.replaceAll((version, a) -> new Assignment(earliestAt, a.latestAt(), false));
    }
  }

  /**
   * Returns the minimum version that a new call may start on now; 0 if any version may be used.
   *
   * @param graceMillis time from the assignment of a version until it becomes required
   */
  long requiredVersion(long now, String model, long graceMillis) {
    for (Map.Entry<Long, Assignment> e : assignments(model).descendingMap().entrySet()) {
      if (now - e.getValue().earliestAt() >= graceMillis) {
        return e.getKey();
      }
    }
    return 0;
  }

  /**
   * Returns the minimum version of calls in flight that have not started; 0 if any version may be
   * used.
   *
   * @param cutoffMillis time from the assignment of a version until such calls are canceled
   */
  long cutoffVersion(long now, String model, long cutoffMillis) {
    for (Map.Entry<Long, Assignment> e : assignments(model).descendingMap().entrySet()) {
      Assignment assignment = e.getValue();
      long assignedAt = assignment.confirmed() ? assignment.earliestAt() : assignment.latestAt();
      if (now - assignedAt >= cutoffMillis) {
        return e.getKey();
      }
    }
    return 0;
  }

  /** Returns the version that is certainly required by now; see {@link #requiredVersion}. */
  long certainVersion(long now, String model, long graceMillis) {
    for (Map.Entry<Long, Assignment> e : assignments(model).descendingMap().entrySet()) {
      if (now - e.getValue().latestAt() >= graceMillis) {
        return e.getKey();
      }
    }
    return 0;
  }

  /** Returns the newest version that is known to be assigned and its age, for the log. */
  String describeNewest(long now, String model) {
    Map.Entry<Long, Assignment> newest = assignments(model).lastEntry();
    if (newest == null) {
      return "newest=0";
    }
    Assignment assignment = newest.getValue();
    return "newest="
        + newest.getKey()
        + " newestAgeMs="
        + (now - assignment.earliestAt())
        + (assignment.confirmed() ? "" : " unconfirmed");
  }

  /** Returns the newest version that is known to be assigned, 0 if none. */
  long newestVersion(String model) {
    TreeMap<Long, Assignment> assignments = assignments(model);
    return assignments.isEmpty() ? 0 : assignments.lastKey();
  }

  private TreeMap<Long, Assignment> assignments(String model) {
    return assignmentsByModel.computeIfAbsent(model, m -> new TreeMap<>());
  }

  /**
   * Bounds of the time at which a version was assigned.
   *
   * @param confirmed whether they come from the first sighting
   */
  private record Assignment(long earliestAt, long latestAt, boolean confirmed) {

    private Assignment narrow(Assignment sighting) {
      long latest = Math.min(latestAt, sighting.latestAt);
      boolean earlierSighting = sighting.latestAt < earliestAt;
      boolean keepsBound = confirmed && !earlierSighting;
      long earliest = keepsBound ? Math.max(earliestAt, sighting.earliestAt) : sighting.earliestAt;
      return new Assignment(Math.min(earliest, latest), latest, true);
    }
  }
}
