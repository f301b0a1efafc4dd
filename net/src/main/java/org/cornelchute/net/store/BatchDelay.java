package org.cornelchute.net.store;

/**
 * Delays between a change of a table and the next poll, so that one poll returns several changes.
 *
 * <p>The first change after a quiet time is followed by the shortest delay. While changes go on,
 * the delay doubles up to the longest one, so that the number of polls depends on the duration of a
 * burst and not on the number of its changes.
 */
public final class BatchDelay {

  /** Time without a change, as a multiple of the longest delay, that ends a burst. */
  private static final int QUIET_FACTOR = 2;

  private final long minMillis;
  private final long maxMillis;
  private long nextMillis;
  private long lastChangeAt;

  /**
   * Creates a delay.
   *
   * @param minMillis shortest delay in milliseconds, 0 if the next poll shall follow at once
   * @param maxMillis longest delay in milliseconds, the time by which a change may be known later
   */
  public BatchDelay(long minMillis, long maxMillis) {
    this.minMillis = minMillis;
    this.maxMillis = maxMillis;
    this.nextMillis = minMillis;
  }

  /** Returns the delay of a watch that polls again at once. */
  public static BatchDelay none() {
    return new BatchDelay(0, 0);
  }

  /**
   * Records that a poll returned a change, and returns the delay of the next poll in milliseconds.
   *
   * @param now time on the steady clock in milliseconds
   */
  long onChange(long now) {
    if (now - lastChangeAt > QUIET_FACTOR * maxMillis) {
      nextMillis = minMillis;
    }
    lastChangeAt = now;
    long current = nextMillis;
    nextMillis = Math.min(maxMillis, current * 2);
    return current;
  }
}
