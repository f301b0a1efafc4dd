package org.cornelchute.policy.forward;

import java.util.Random;
import org.cornelchute.policy.forward.OtherEntries.Availability;

/** Decides when the callers of rejected calls are asked to retry. */
final class RetryAfter {

  private static final long MAX_MILLIS = 2_000;

  /** Upper bound as a fraction of the remaining time; callers honor up to one third of it. */
  private static final double MAX_SHARE = 0.32;

  /**
   * Lower bound as a fraction of the upper bound. The random spread keeps callers that were
   * rejected together from retrying together.
   */
  private static final double MIN_FACTOR = 0.6;

  /**
   * Time over which callers return after a pause of all endpoints, so that not all come at once.
   */
  private static final double MIN_SPREAD_MILLIS = 200;

  /** Such a time as a fraction of the pause, in which more callers gather the longer it is. */
  private static final double MAX_SPREAD_SHARE = 0.2;

  /** Minimum for calls that another entry is likely to accept. */
  private static final long FAILOVER_MILLIS = 20;

  private static final int FAILOVER_JITTER_MILLIS = 30;

  /** Time in which a process that has just started receives the first report of another entry. */
  private static final long DISCOVERY_MILLIS = 400;

  private final Random random;

  RetryAfter(Random random) {
    this.random = random;
  }

  /**
   * Returns the delay of a retry. If no entry is likely to accept it soon, it is as long as callers
   * honor, since the cause of the rejection persists. If that is not known yet, it is as long as it
   * takes to hear of other entries.
   *
   * @param others whether other entries can probably accept the call
   * @param remainingMillis time that the caller has left
   */
  long millis(Availability others, long remainingMillis) {
    if (others == Availability.LIKELY) {
      return FAILOVER_MILLIS + random.nextInt(FAILOVER_JITTER_MILLIS);
    }
    long longest = others == Availability.UNKNOWN ? DISCOVERY_MILLIS : MAX_MILLIS;
    double upper = Math.min(longest, MAX_SHARE * Math.max(0, remainingMillis));
    return Math.round(upper * (MIN_FACTOR + (1 - MIN_FACTOR) * random.nextDouble()));
  }

  /**
   * Returns the delay of a retry of a call that no endpoint takes before a known time. It is not
   * cut to what callers honor, since an earlier retry would be rejected again.
   *
   * @param pauseMillis time until the first endpoint takes calls again
   */
  long millisAfterPause(long pauseMillis) {
    double spread = Math.max(MIN_SPREAD_MILLIS, MAX_SPREAD_SHARE * pauseMillis);
    return pauseMillis + Math.round(spread * random.nextDouble());
  }
}
