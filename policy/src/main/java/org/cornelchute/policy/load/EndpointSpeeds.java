package org.cornelchute.policy.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cornelchute.core.message.ControlMessage.EndpointSpeedsReport;
import org.cornelchute.core.model.EndpointSpeed;

/**
 * Speeds of the listed endpoints, by the hash code of their incarnation.
 *
 * <p>Each entry reports the speeds that the responses to itself state, and forwards no reports of
 * others. Reports are not acknowledged: if they are lost, the estimates return to normal.
 */
public final class EndpointSpeeds {

  private static final int MAX_SPEEDS_PER_REPORT = 16;

  /** Largest factor that is accepted from another entry, that of the largest speed in a header. */
  private static final double MAX_REPORTED_SLOWDOWN = 100;

  /** Estimated factor from which an endpoint counts as slow. */
  private static final double SLOW = 1.5;

  private final Map<Integer, SpeedEstimate> estimates = new HashMap<>();

  /** Estimates with responses since they were last reported, in the order of the first of them. */
  private final Map<Integer, SpeedEstimate> unreported = new LinkedHashMap<>();

  /** Returns the estimate of an incarnation, a new one if it has none. */
  public SpeedEstimate of(int incarnation) {
    return estimates.computeIfAbsent(incarnation, i -> new SpeedEstimate());
  }

  /** Drops the estimates of all other incarnations. */
  public void retain(Set<Integer> incarnations) {
    estimates.keySet().retainAll(incarnations);
    unreported.keySet().retainAll(incarnations);
  }

  /** Records the load that a response to this entry states; without a speed, nothing changes. */
  public void recordResponse(long now, int incarnation, EndpointLoad load) {
    SpeedEstimate estimate = load.hasSpeed() ? estimates.get(incarnation) : null;
    if (estimate != null) {
      estimate.recordResponse(now, load.slowdown());
      unreported.putIfAbsent(incarnation, estimate);
    }
  }

  /** Records the speeds that another entry reports; those that cannot be right are ignored. */
  public void recordReport(long now, EndpointSpeedsReport report) {
    for (EndpointSpeed speed : report.speeds()) {
      SpeedEstimate estimate = estimates.get(speed.endpoint());
      // Also false for a factor that is no number.
      boolean valid = speed.slowdown() > 0 && speed.slowdown() <= MAX_REPORTED_SLOWDOWN;
      boolean current = speed.ageMillis() >= 0 && speed.ageMillis() < SpeedEstimate.MAX_AGE_MILLIS;
      if (estimate != null && valid && current) {
        estimate.recordReport(now, speed.slowdown(), speed.ageMillis());
      }
    }
  }

  /** Returns the speeds to report to the other entries; the report may be empty. */
  public EndpointSpeedsReport takeReport(long now) {
    if (unreported.isEmpty()) {
      return EndpointSpeedsReport.EMPTY;
    }
    List<EndpointSpeed> speeds = new ArrayList<>();
    Iterator<Map.Entry<Integer, SpeedEstimate>> remaining = unreported.entrySet().iterator();
    while (remaining.hasNext() && speeds.size() < MAX_SPEEDS_PER_REPORT) {
      Map.Entry<Integer, SpeedEstimate> next = remaining.next();
      SpeedEstimate estimate = next.getValue();
      remaining.remove();
      if (estimate.isReportable(now)) {
        estimate.recordSent(now);
        speeds.add(new EndpointSpeed(next.getKey(), estimate.ownMean(), estimate.ageMillis(now)));
      }
    }
    return new EndpointSpeedsReport(speeds);
  }

  /** Returns the number of endpoints that are known to be slow. */
  public int slowCount(long now) {
    int count = 0;
    for (SpeedEstimate estimate : estimates.values()) {
      if (estimate.slowdown(now) >= SLOW) {
        count++;
      }
    }
    return count;
  }
}
