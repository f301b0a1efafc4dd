package org.cornelchute.policy.forward;

/**
 * Age of the cached state: the time since the store last confirmed it.
 *
 * <p>A confirmation counts from the time of its request, because the state may have changed while
 * the response was on its way. The monotonic clock does not advance while the process is suspended,
 * so it is compared with the wall clock. If the difference has changed, the cached state is
 * unconfirmed until a request sent after the suspension is answered. A change in the other
 * direction counts too, since the wall clock may have been set back during the suspension.
 */
final class Freshness {

  /** Change of the difference between the two clocks above which a suspension is assumed. */
  private static final long MIN_SUSPENSION_MILLIS = 250;

  private static final long NEVER = Long.MIN_VALUE / 4;

  private long confirmedAt = NEVER;

  /** Responses to earlier requests do not confirm the state. */
  private long minRequestedAt = NEVER;

  /** Difference between wall clock and monotonic clock at the last comparison. */
  private long wallOffset = Long.MIN_VALUE;

  /**
   * Compares the two clocks; called before each use of the cached state.
   *
   * @return whether the process was suspended, so that the cached state must be confirmed again
   */
  boolean detectSuspension(long now, long wallMillis) {
    long currentOffset = wallMillis - now;
    boolean suspended =
        wallOffset != Long.MIN_VALUE
            && Math.abs(currentOffset - wallOffset) > MIN_SUSPENSION_MILLIS;
    if (suspended) {
      confirmedAt = NEVER;
      minRequestedAt = now;
    }
    wallOffset = currentOffset;
    return suspended;
  }

  /**
   * Records that the store confirmed the state in response to a request sent at {@code
   * requestedAt}.
   */
  void confirm(long requestedAt) {
    if (requestedAt >= minRequestedAt) {
      confirmedAt = Math.max(confirmedAt, requestedAt);
    }
  }

  /** Returns the time of the last confirmation; long past if the state is not confirmed. */
  long confirmedAt() {
    return confirmedAt;
  }

  /** Returns the age of the cached state; very large if it was never confirmed. */
  long ageMillis(long now) {
    return now - confirmedAt;
  }
}
