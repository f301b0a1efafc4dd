package org.cornelchute.policy.forward;

/**
 * Detects that the process was recently stalled, so that data it reads now may be outdated.
 *
 * <p>Both clocks are used, because the monotonic clock does not advance while a VM is suspended and
 * the wall clock may be adjusted.
 */
public final class StallDetector {

  /** Time between two observations from which a stall is assumed. */
  private static final long MIN_STALL_MILLIS = 400;

  /** Time after a stall in which the process reads the data that arrived during the stall. */
  private static final long BACKLOG_MILLIS = 150;

  private long lastMonotonicMillis;
  private long lastWallMillis;
  private long backlogUntil;
  private boolean initialized;

  /**
   * Compares both clocks with the previous observation; called frequently while the process runs.
   */
  public void observe(long monotonicMillis, long wallMillis) {
    long gap = Math.max(monotonicMillis - lastMonotonicMillis, wallMillis - lastWallMillis);
    if (initialized && gap >= MIN_STALL_MILLIS) {
      backlogUntil = monotonicMillis + BACKLOG_MILLIS;
    }
    initialized = true;
    lastMonotonicMillis = monotonicMillis;
    lastWallMillis = wallMillis;
  }

  /** Returns whether data read now may have been delayed by a stall. */
  public boolean isProcessingBacklog(long monotonicMillis) {
    return monotonicMillis < backlogUntil;
  }
}
