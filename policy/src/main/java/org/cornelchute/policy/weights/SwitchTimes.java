package org.cornelchute.policy.weights;

/**
 * Times of the steps in which the engines of a model switch to a version of its weights, in
 * milliseconds from its assignment. Agents and entries go by the same ones.
 *
 * @param cutoverMillis time at which the second half of the engines switches
 * @param graceMillis time from which entries send calls only to engines that hold the version
 * @param cutoffMillis time from which entries cancel calls that have not started on older weights
 */
public record SwitchTimes(long cutoverMillis, long graceMillis, long cutoffMillis) {

  /** Cutover as a fraction of the limit. */
  private static final double CUTOVER_FRACTION = 0.9;

  private static final long GRACE_MARGIN_MILLIS = 600;
  private static final long CUTOFF_MARGIN_MILLIS = 400;

  /**
   * Returns the times for a limit.
   *
   * @param limitMillis time from the assignment of a version after which no call may start on an
   *     older one
   */
  public static SwitchTimes of(long limitMillis) {
    return new SwitchTimes(
        (long) (limitMillis * CUTOVER_FRACTION),
        limitMillis - GRACE_MARGIN_MILLIS,
        limitMillis - CUTOFF_MARGIN_MILLIS);
  }
}
