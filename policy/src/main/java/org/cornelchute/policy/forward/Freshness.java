package org.cornelchute.policy.forward;

/**
 * How long ago the store last confirmed what is believed.
 *
 * <p>A confirmation is as old as the question that it answers, not as the answer. The steady clock
 * stands still while the process is suspended, so it is held against the time of day: where that
 * has run ahead, only an answer to a question asked since counts.
 */
final class Freshness {

  private static final long MIN_SUSPENSION_MILLIS = 250;
  private static final long NEVER = Long.MIN_VALUE / 4;

  private long confirmedAt = NEVER;
  private long minRequestedAt = NEVER;
  private long wallOffset = Long.MIN_VALUE;

  /**
   * Compares the two clocks; called before each use of a belief.
   *
   * @return whether the process was suspended, so that beliefs must be confirmed anew
   */
  boolean detectSuspension(long now, long wallMillis) {
    long difference = wallMillis - now;
    boolean suspended =
        wallOffset != Long.MIN_VALUE && difference - wallOffset > MIN_SUSPENSION_MILLIS;
    if (suspended) {
      confirmedAt = NEVER;
      minRequestedAt = now;
    }
    wallOffset = difference;
    return suspended;
  }

  /** Takes an answer to a question that was asked at {@code askedAt}. */
  void confirm(long askedAt) {
    if (askedAt >= minRequestedAt) {
      confirmedAt = Math.max(confirmedAt, askedAt);
    }
  }

  /** Returns the age of the belief in milliseconds; very large if it was never confirmed. */
  long ageMillis(long now) {
    return now - confirmedAt;
  }
}
