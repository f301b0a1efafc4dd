package org.cornelchute.policy.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Age of the cached state: the time since the store last confirmed it.
 *
 * <p>A confirmation counts from the time of its request, because the state may have changed while
 * the response was on its way. The monotonic clock does not advance while the process is suspended,
 * so it is compared with the wall clock. If the difference has changed, also by several short
 * suspensions, the cached state is unconfirmed until a request sent after the suspension is
 * answered. A change in the other direction counts too, since the wall clock may have been set back
 * during the suspension.
 */
final class Freshness {

  /** Change of the difference between the two clocks above which a suspension is assumed. */
  private static final long MIN_SUSPENSION_MILLIS = 250;

  /** Time over which short suspensions add up; confirmations that are older are not used. */
  private static final long SUM_WINDOW_MILLIS = 10_000;

  /** Change of the difference between the two clocks from which it is recorded anew. */
  private static final long RECORDED_CHANGE_MILLIS = 20;

  private static final long NEVER = Long.MIN_VALUE / 4;

  private long confirmedAt = NEVER;

  /** Responses to earlier requests do not confirm the state. */
  private long minRequestedAt = NEVER;

  /** Difference between wall clock and monotonic clock at the last comparison. */
  private long wallOffset = Long.MIN_VALUE;

  /** Differences between the two clocks in the window, oldest first. */
  private final Deque<WallOffset> recentOffsets = new ArrayDeque<>();

  /**
   * Compares the two clocks; called before each use of the cached state.
   *
   * @return whether the process was suspended, so that the cached state must be confirmed again
   */
  boolean detectSuspension(long now, long wallMillis) {
    long currentOffset = wallMillis - now;
    boolean suspended =
        wallOffset != Long.MIN_VALUE
            && (isSuspension(currentOffset - wallOffset) || addsUp(now, currentOffset));
    if (suspended) {
      confirmedAt = NEVER;
      minRequestedAt = now;
      recentOffsets.clear();
    }
    wallOffset = currentOffset;
    record(now, currentOffset);
    return suspended;
  }

  /** Returns whether the difference between the clocks has changed too far within the window. */
  private boolean addsUp(long now, long currentOffset) {
    while (!recentOffsets.isEmpty()
        && recentOffsets.peekFirst().lastSeenAt < now - SUM_WINDOW_MILLIS) {
      recentOffsets.removeFirst();
    }
    return recentOffsets.stream().anyMatch(o -> isSuspension(currentOffset - o.millis));
  }

  private void record(long now, long currentOffset) {
    WallOffset latest = recentOffsets.peekLast();
    if (latest == null || Math.abs(currentOffset - latest.millis) >= RECORDED_CHANGE_MILLIS) {
      latest = new WallOffset(currentOffset);
      recentOffsets.addLast(latest);
    }
    latest.lastSeenAt = now;
  }

  private static boolean isSuspension(long change) {
    return Math.abs(change) > MIN_SUSPENSION_MILLIS;
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

  /** A difference between the two clocks. */
  private static final class WallOffset {
    private final long millis;
    private long lastSeenAt;

    WallOffset(long millis) {
      this.millis = millis;
    }
  }
}
