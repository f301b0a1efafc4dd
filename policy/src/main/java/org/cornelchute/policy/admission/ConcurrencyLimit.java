package org.cornelchute.policy.admission;

/**
 * How many requests an endpoint may run at once, learnt from its behaviour.
 *
 * <p>Additive increase, multiplicative decrease (Chiu and Jain, 1989) between a cold and a warm
 * limit. It grows only on completed work, so that an endpoint that has just started is never given
 * more than it has shown to carry, and never above what the endpoint itself last reported.
 */
public final class ConcurrencyLimit {

  private static final double DECREASE_FACTOR = 0.7;
  private static final double SLOW_GAP_FACTOR = 3.0;
  private static final int SLOW_GAPS_UNTIL_COLD = 3;
  private static final double GAP_SMOOTHING = 0.05;
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
   * Creates a limit at its cold value.
   *
   * @param coldLimit requests that a cold endpoint carries
   * @param warmLimit most requests it is ever given
   * @param completionsPerStep completed requests before the limit grows by one
   */
  public ConcurrencyLimit(int coldLimit, int warmLimit, int completionsPerStep) {
    this.coldLimit = coldLimit;
    this.warmLimit = warmLimit;
    this.completionsPerStep = completionsPerStep;
    this.limit = coldLimit;
  }

  /** Returns the limit in requests, at least 1. */
  public int limit() {
    return Math.max(1, Math.min((int) limit, reportedCapacity));
  }

  /**
   * Counts a request that ended well.
   *
   * <p>While the endpoint says that it carries more, every completion raises the limit by one:
   * beside an engine that is warm, an agent that has just started is as fast as the engine answers.
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

  /** Lowers the limit because the endpoint refused work or failed. */
  public void onOverload() {
    limit = Math.max(coldLimit, limit * DECREASE_FACTOR);
    completedSinceChange = 0;
  }

  /** Returns to the cold limit. */
  public void resetToCold() {
    limit = coldLimit;
    completedSinceChange = 0;
    consecutiveSlowGaps = 0;
    reportedCapacity = Integer.MAX_VALUE;
  }

  /** Takes the endpoint's own report of what it can carry; 0 or less means that it reports none. */
  public void setReportedCapacity(int capacity) {
    reportedCapacity = capacity > 0 ? capacity : Integer.MAX_VALUE;
  }

  /**
   * Takes the time between two parts of one answer.
   *
   * @param observedMillis the gap in milliseconds
   * @return whether the endpoint has become so slow that it must be cold again
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
