package org.cornelchute.policy.forward;

/**
 * How long ago the store last confirmed what is believed.
 *
 * <p>A confirmation is as old as the question that it answers, not as the answer. The steady clock
 * stands still while the process is suspended, so it is held against the time of day: where that
 * has run ahead, only an answer to a question asked since counts.
 */
final class Freshness {

  private static final long SUSPENSION_MILLIS = 250;
  private static final long NEVER = Long.MIN_VALUE / 4;

  private long confirmed = NEVER;
  private long asked = NEVER;
  private long offset = Long.MIN_VALUE;

  /**
   * Compares the two clocks; called before each use of a belief.
   *
   * @return whether the process was suspended, so that beliefs must be confirmed anew
   */
  boolean observe(long now, long wallMillis) {
    long difference = wallMillis - now;
    boolean suspended = offset != Long.MIN_VALUE && difference - offset > SUSPENSION_MILLIS;
    if (suspended) {
      confirmed = NEVER;
      asked = now;
    }
    offset = difference;
    return suspended;
  }

  /** Takes an answer to a question that was asked at {@code askedAt}. */
  void confirm(long askedAt) {
    if (askedAt >= asked) {
      confirmed = Math.max(confirmed, askedAt);
    }
  }

  /** Returns the age of the belief in milliseconds; very large if it was never confirmed. */
  long age(long now) {
    return now - confirmed;
  }
}
