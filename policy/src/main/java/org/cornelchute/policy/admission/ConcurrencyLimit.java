package org.cornelchute.policy.admission;

/**
 * How many requests an endpoint may run at once, learnt from its behaviour.
 *
 * <p>Additive increase, multiplicative decrease (Chiu and Jain, 1989) between a cold and a warm
 * limit. It grows only on completed work, so that an endpoint that has just started is never given
 * more than it has shown to carry, and never above what the endpoint itself last reported.
 */
public final class ConcurrencyLimit {

  private static final double DECREASE = 0.7;
  private static final double SLOW_FACTOR = 3.0;
  private static final int SLOW_EVENTS = 3;
  private static final double SMOOTHING = 0.05;
  private static final double MIN_GAP_MILLIS = 4.0;

  private final int cold;
  private final int warm;
  private final int perStep;
  private double limit;
  private int completed;
  private int reported = Integer.MAX_VALUE;
  private double usualGap;
  private int slow;

  /**
   * Creates a limit at its cold value.
   *
   * @param cold requests that a cold endpoint carries
   * @param warm most requests it is ever given
   * @param perStep completed requests before the limit grows by one
   */
  public ConcurrencyLimit(int cold, int warm, int perStep) {
    this.cold = cold;
    this.warm = warm;
    this.perStep = perStep;
    this.limit = cold;
  }

  /** Returns the limit in requests, at least 1. */
  public int limit() {
    return Math.max(1, Math.min((int) limit, reported));
  }

  /**
   * Counts a request that ended well.
   *
   * <p>While the endpoint says that it carries more, every completion raises the limit by one:
   * beside an engine that is warm, an agent that has just started is as fast as the engine answers.
   */
  public void completed() {
    completed++;
    boolean invited = reported != Integer.MAX_VALUE && limit < reported;
    if ((invited || completed >= perStep) && limit < warm) {
      completed = 0;
      limit = Math.min(warm, limit + 1);
    }
  }

  /** Lowers the limit because the endpoint refused work or failed. */
  public void overloaded() {
    limit = Math.max(cold, limit * DECREASE);
    completed = 0;
  }

  /** Returns to the cold limit. */
  public void turnedCold() {
    limit = cold;
    completed = 0;
    slow = 0;
    reported = Integer.MAX_VALUE;
  }

  /** Takes the endpoint's own report of what it can carry; 0 or less means that it reports none. */
  public void report(int capacity) {
    reported = capacity > 0 ? capacity : Integer.MAX_VALUE;
  }

  /**
   * Takes the time between two parts of one answer.
   *
   * @param millis the gap in milliseconds
   * @return whether the endpoint has become so slow that it must be cold again
   */
  public boolean observeGap(double millis) {
    double gap = Math.max(millis, MIN_GAP_MILLIS);
    if (usualGap == 0) {
      usualGap = gap;
      return false;
    }
    if (gap > usualGap * SLOW_FACTOR) {
      slow++;
      if (slow >= SLOW_EVENTS) {
        slow = 0;
        return true;
      }
      return false;
    }
    slow = 0;
    usualGap += SMOOTHING * (gap - usualGap);
    return false;
  }
}
