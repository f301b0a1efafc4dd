package org.cornelchute.policy.forward;

/**
 * Tells whether the process stood still a moment ago, so that what it reads now may be old.
 *
 * <p>Both clocks are looked at: the steady one stands still while a machine is suspended, the time
 * of day may be set.
 */
public final class StallDetector {

  /** Time between two looks that is held for a stall. */
  private static final long MIN_STALL_MILLIS = 400;

  /** Time after a stall in which what was held up is read. */
  private static final long BACKLOG_MILLIS = 150;

  private long lastSteady;
  private long lastWall;
  private long backlogUntil;
  private boolean initialized;

  /** Looks at the clocks; called often while the process runs. */
  public void observe(long steadyMillis, long wallMillis) {
    long gap = Math.max(steadyMillis - lastSteady, wallMillis - lastWall);
    if (initialized && gap >= MIN_STALL_MILLIS) {
      backlogUntil = steadyMillis + BACKLOG_MILLIS;
    }
    initialized = true;
    lastSteady = steadyMillis;
    lastWall = wallMillis;
  }

  /** Returns whether what is read now may have been held up by a stall. */
  public boolean isProcessingBacklog(long steadyMillis) {
    return steadyMillis < backlogUntil;
  }
}
