package org.cornelchute.policy.forward;

/** What this entry knows of whether one incarnation of an endpoint still runs; times in ms. */
final class Vitality {

  /** Time at which the incarnation last sent something, 0 if it never did. */
  private long heardAt;

  /** Time of the first dispatch after {@link #heardAt}, 0 if there was none yet. */
  private long awaitedSince;

  /** Time at which a connection to it could last not be opened, 0 if that never happened. */
  private long unreachableAt;

  /** Whether the directory has dropped it or lists a later incarnation at its address. */
  private boolean delisted;

  long heardAt() {
    return heardAt;
  }

  /** Returns the time of the last data or, if later, of the first dispatch since, 0 if none. */
  long silentSince() {
    return Math.max(heardAt, awaitedSince);
  }

  void recordHeard(long now) {
    heardAt = now;
  }

  void recordDispatch(long now) {
    if (awaitedSince <= heardAt) {
      awaitedSince = now;
    }
  }

  void recordUnreachable(long now) {
    unreachableAt = now;
  }

  void setDelisted(boolean newValue) {
    delisted = newValue;
  }

  /**
   * Returns whether something beside the attempt itself says that the incarnation has ended since
   * an attempt was dispatched.
   */
  boolean showsEndSince(long dispatchedAt) {
    return delisted || unreachableAt >= dispatchedAt && unreachableAt > heardAt;
  }
}
