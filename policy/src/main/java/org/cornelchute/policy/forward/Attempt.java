package org.cornelchute.policy.forward;

/** One attempt to have a call executed by an endpoint. */
final class Attempt {

  /** Number of the attempt within its call, from 1. */
  final int number;

  final Endpoint endpoint;
  final long dispatchedAt;

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

  Attempt(int number, Endpoint endpoint, boolean resumes, long resumedAfter, long now) {
    this.number = number;
    this.endpoint = endpoint;
    this.resumes = resumes;
    this.resumedAfter = resumedAfter;
    this.dispatchedAt = now;
    this.lastProgressAt = now;
  }

  boolean hasBegun() {
    return begunAt > 0;
  }
}
