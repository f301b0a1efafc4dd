package org.cornelchute.policy.weights;

/**
 * Times of the steps in which the engines of a model switch to a version of its weights, in
 * milliseconds from its assignment. Agents and entries go by the same ones.
 *
 * <p>A call that was sent cannot be taken back, and a sound engine may leave it and its
 * cancellation unread for {@link #MAX_UNREAD_MILLIS}. So all steps are taken that much before the
 * limit, also while no engine holds the version yet. A call that is under way for longer than that
 * is refused by the engine itself, which its agent fences; see {@link EngineFence}.
 *
 * @param cutoverMillis latest time at which the second half of the engines switches if it holds the
 *     version
 * @param graceMillis time from which entries send calls only to engines that hold the version, and
 *     agents fence engines that hold older weights
 * @param cutoffMillis time from which entries cancel calls that have not started on older weights
 */
public record SwitchTimes(long cutoverMillis, long graceMillis, long cutoffMillis) {

  /** Time for which a sound engine may leave unread what it was sent. */
  private static final long MAX_UNREAD_MILLIS = 1_500;

  /** Time for a cancellation or a fence to be sent and to arrive. */
  private static final long CUTOFF_MARGIN_MILLIS = 200;

  /** Time for a call that was sent in time to start. */
  private static final long START_MILLIS = 200;

  /** Time for an engine to be staged and ordered to load before it would be fenced. */
  private static final long STAGING_MILLIS = 200;

  /**
   * Returns the times for a limit.
   *
   * @param limitMillis time from the assignment of a version after which no call may start on an
   *     older one
   */
  public static SwitchTimes of(long limitMillis) {
    long cutoff = Math.max(0, limitMillis - MAX_UNREAD_MILLIS - CUTOFF_MARGIN_MILLIS);
    long grace = Math.max(0, cutoff - START_MILLIS);
    return new SwitchTimes(Math.max(0, grace - STAGING_MILLIS), grace, cutoff);
  }
}
