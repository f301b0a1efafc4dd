package org.cornelchute.policy.forward;

/** One attempt to have a call executed by an endpoint. */
final class Attempt {

  /** Number of the attempt within its call, from 1. */
  final int number;

  final Endpoint endpoint;
  final long dispatchedAt;

  /** Version of the weights that the endpoint held at the dispatch, as far as known. */
  final long versionAtDispatch;

  /** Version of the weights that the endpoint must hold to run the attempt, 0 for any. */
  final long expectedVersion;

  /** Whether the caller has the head, and possibly events, of an earlier attempt. */
  final boolean resumes;

  /** Id of the last event that was delivered before this attempt, negative if none. */
  final long resumedAfter;

  /** Time of the dispatch or of the latest data from the endpoint for this attempt. */
  long lastProgressAt;

  /** Time at which the endpoint began a success response, 0 if not yet. */
  long begunAt;

  /** Version of the weights that this response names, 0 if none. */
  long version;

  /** Whether only the close of the connection ends that response. */
  boolean endsOnClose;

  /** Whether the end of its endpoint was recorded as a crash, or need not be. */
  boolean crashRecorded;

  Attempt(
      int number,
      Endpoint endpoint,
      long expectedVersion,
      boolean resumes,
      long resumedAfter,
      long now) {
    this.number = number;
    this.endpoint = endpoint;
    this.versionAtDispatch = endpoint.version;
    this.expectedVersion = expectedVersion;
    this.resumes = resumes;
    this.resumedAfter = resumedAfter;
    this.dispatchedAt = now;
    this.lastProgressAt = now;
  }

  boolean hasBegun() {
    return begunAt > 0;
  }

  /**
   * Returns the oldest version of the weights that the attempt may still begin on.
   *
   * <p>An endpoint refuses an attempt that names another version than it holds. Otherwise the lower
   * of the versions known at the dispatch and now counts, unless the incarnation itself has moved
   * to newer weights, which it never takes back.
   */
  long oldestVersion() {
    long known = Math.min(versionAtDispatch, endpoint.version);
    return Math.max(expectedVersion, Math.max(known, endpoint.reportedVersion()));
  }
}
