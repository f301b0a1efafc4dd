package org.cornelchute.policy.admission;

/**
 * Adaptive limit on the number of concurrent requests at one endpoint.
 *
 * <p>The limit moves between a cold and a warm value by additive increase and multiplicative
 * decrease (Chiu and Jain, 1989). Only completed requests raise it, so beyond the cold limit an
 * endpoint that has just started gets only as many concurrent requests as it has proven to handle.
 * The limit never exceeds the capacity that the endpoint last reported.
 */
public final class ConcurrencyLimit {

  private static final double DECREASE_FACTOR = 0.7;

  /** A gap between two parts of an answer counts as slow above this multiple of the average. */
  private static final double SLOW_GAP_FACTOR = 3.0;

  /** Number of consecutive slow gaps after which the endpoint counts as cold. */
  private static final int SLOW_GAPS_UNTIL_COLD = 3;

  /** Weight of a new gap in the exponential moving average. */
  private static final double GAP_SMOOTHING = 0.05;

  /** Shorter gaps are rounded up to this, so that small variations do not count as slow. */
  private static final double MIN_GAP_MILLIS = 4.0;

  private final int coldLimit;
  private final int warmLimit;
  private final int completionsPerStep;
  private double limit;
  private int completedSinceChange;
  private int reportedCapacity = Integer.MAX_VALUE;
  private double averageGapMillis;
  private int consecutiveSlowGaps;

  /**
   * Creates a limit that starts at its cold value.
   *
   * @param coldLimit concurrent requests allowed at a cold endpoint
   * @param warmLimit maximum number of concurrent requests
   * @param completionsPerStep completed requests needed to raise the limit by one
   */
  public ConcurrencyLimit(int coldLimit, int warmLimit, int completionsPerStep) {
    this.coldLimit = coldLimit;
    this.warmLimit = warmLimit;
    this.completionsPerStep = completionsPerStep;
    this.limit = coldLimit;
  }

  /** Returns the number of requests that may run concurrently, at least 1. */
  public int limit() {
    return Math.max(1, Math.min((int) limit, reportedCapacity));
  }

  /**
   * Counts a request that completed normally, and raises the limit if enough have completed.
   *
   * <p>While the limit is below the capacity that the endpoint reports, every completion raises it
   * by one, so that a restarted agent beside a warm engine reaches that capacity quickly.
   */
  public void onCompletion() {
    completedSinceChange++;
    boolean belowReportedCapacity =
        reportedCapacity != Integer.MAX_VALUE && limit < reportedCapacity;
    if ((belowReportedCapacity || completedSinceChange >= completionsPerStep)
        && limit < warmLimit) {
      completedSinceChange = 0;
      limit = Math.min(warmLimit, limit + 1);
    }
  }

  /** Lowers the limit after the endpoint refused a request or failed to complete it. */
  public void onOverload() {
    limit = Math.max(coldLimit, limit * DECREASE_FACTOR);
    completedSinceChange = 0;
  }

  /** Resets the limit to its cold value and discards the reported capacity. */
  public void resetToCold() {
    limit = coldLimit;
    completedSinceChange = 0;
    consecutiveSlowGaps = 0;
    reportedCapacity = Integer.MAX_VALUE;
  }

  /** Sets the capacity reported by the endpoint; 0 or less means that it reports none. */
  public void setReportedCapacity(int capacity) {
    reportedCapacity = capacity > 0 ? capacity : Integer.MAX_VALUE;
  }

  /**
   * Records the time between two consecutive parts of an answer.
   *
   * @param observedMillis time between the two parts in milliseconds
   * @return whether the endpoint has slowed down so much that it must be treated as cold
   */
  public boolean observeGap(double observedMillis) {
    double gapMillis = Math.max(observedMillis, MIN_GAP_MILLIS);
    if (averageGapMillis == 0) {
      averageGapMillis = gapMillis;
      return false;
    }
    if (gapMillis > averageGapMillis * SLOW_GAP_FACTOR) {
      consecutiveSlowGaps++;
      if (consecutiveSlowGaps >= SLOW_GAPS_UNTIL_COLD) {
        consecutiveSlowGaps = 0;
        return true;
      }
      return false;
    }
    consecutiveSlowGaps = 0;
    averageGapMillis += GAP_SMOOTHING * (gapMillis - averageGapMillis);
    return false;
  }
}
