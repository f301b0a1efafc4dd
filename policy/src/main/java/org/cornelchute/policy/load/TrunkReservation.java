package org.cornelchute.policy.load;

import java.util.Map;
import java.util.TreeMap;

/**
 * Reserves room at the engines of one service for urgent calls.
 *
 * <p>Each call has a rank, of which lower ones are more urgent. A rank is accepted up to a load per
 * slot that falls with the share of recent arrivals that are more urgent (trunk reservation). The
 * most urgent calls are accepted somewhat beyond the slots: engines order their own queue by
 * priority, so that such a call gets the next slot that becomes free.
 *
 * <p>Shares are averaged over {@link #AVERAGING_MILLIS}, so that a burst of calls of a low rank
 * does not shrink the room that is reserved against it.
 */
public final class TrunkReservation {

  /** Load per slot up to which the most urgent calls are accepted. */
  static final double MAX_LOAD_PER_SLOT = 1.1;

  /** Load per slot that is reserved against a rank if all other arrivals are more urgent. */
  static final double MAX_RESERVED_LOAD_PER_SLOT = 0.7;

  /** Time constant of the exponential average of arrivals. */
  static final double AVERAGING_MILLIS = 30_000;

  /** Decayed arrivals below which a rank counts as gone: none came for minutes. */
  static final double MIN_ARRIVALS = 0.01;

  /** Highest value of a request priority. */
  static final int MAX_PRIORITY = 9;

  private final Map<Integer, Double> arrivalsByRank = new TreeMap<>();
  private double totalArrivals;
  private long updatedAt;

  /** Records the arrival of a call, accepted or not. */
  public void recordArrival(long now, int rank) {
    double remaining = Math.exp(-Math.max(0, now - updatedAt) / AVERAGING_MILLIS);
    arrivalsByRank.replaceAll((r, arrivals) -> arrivals * remaining);
    arrivalsByRank.values().removeIf(arrivals -> arrivals < MIN_ARRIVALS);
    totalArrivals = totalArrivals * remaining + 1;
    arrivalsByRank.merge(rank, 1.0, Double::sum);
    updatedAt = now;
  }

  /** Returns the load per slot up to which calls of a rank are accepted. */
  public double maxLoadPerSlot(int rank) {
    return MAX_LOAD_PER_SLOT - MAX_RESERVED_LOAD_PER_SLOT * moreUrgentShare(rank);
  }

  /** Returns the place of a rank among those that arrived, 0 for the most urgent one. */
  public int priorityOf(int rank) {
    int priority = 0;
    for (int other : arrivalsByRank.keySet()) {
      if (other >= rank) {
        break;
      }
      priority++;
    }
    return Math.min(MAX_PRIORITY, priority);
  }

  private double moreUrgentShare(int rank) {
    double moreUrgent = 0;
    for (Map.Entry<Integer, Double> e : arrivalsByRank.entrySet()) {
      if (e.getKey() >= rank) {
        break;
      }
      moreUrgent += e.getValue();
    }
    return totalArrivals == 0 ? 0 : moreUrgent / totalArrivals;
  }
}
